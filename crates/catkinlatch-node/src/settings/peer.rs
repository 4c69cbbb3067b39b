//! Entry of a node in the `peers` of the settings.

use catkinlatch_base::{HostId, RegionId, ZoneId, derive_value};

derive_value! {
    /// A node of the cluster as listed in the settings of all nodes.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Peer {
        /// The name of the host.
        pub host: HostId,
        /// The availability zone of the host.
        pub zone: ZoneId,
        /// The region of the zone, if named.
        #[serde(default)]
        pub region: Option<RegionId>,
        /// The address for other nodes, as `host:port`.
        pub peer_address: String,
        /// The address that is advertised to callers, as `host:port`.
        pub advertise: String,
        /// The address for operators, as `host:port`.
        pub operator_address: String,
        /// Whether the host has a disk for the control log.
        #[serde(default)]
        pub disk: bool,
    }
}
