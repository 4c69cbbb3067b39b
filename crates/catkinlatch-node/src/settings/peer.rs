//! A node as the settings of all nodes name it.

use catkinlatch_base::{HostId, RegionId, ZoneId, derive_value};

derive_value! {
    /// A node as the settings of all nodes name it.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Peer {
        /// The host's name.
        pub host: HostId,
        /// The availability zone.
        pub zone: ZoneId,
        /// The region that the zone lies in.
        #[serde(default)]
        pub region: Option<RegionId>,
        /// Where other nodes connect, as `host:port`.
        pub peer_address: String,
        /// The address that callers are told to use, as `host:port`.
        pub advertise: String,
        /// Where operators connect, as `host:port`.
        pub operator_address: String,
        /// Whether the host has a disk for the control log.
        #[serde(default)]
        pub disk: bool,
    }
}
