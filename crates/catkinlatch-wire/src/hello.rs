//! The identity that two processes exchange when they open a session.

use catkinlatch_base::{ClusterId, HostId, Incarnation, ZoneId, derive_value};

/// Version of the protocol between processes.
pub const PROTOCOL: u32 = 1;

derive_value! {
    /// Identity of a process, and the values that must be equal on both sides of a session.
    pub struct Hello {
        /// Protocol version, [`PROTOCOL`] for this release.
        pub protocol: u32,
        /// The cluster that the process belongs to.
        pub cluster: ClusterId,
        /// The host that the process runs on.
        pub host: HostId,
        /// Identifies this start of the process.
        pub incarnation: Incarnation,
        /// The host's availability zone.
        pub zone: ZoneId,
        /// Digest of the settings that must be equal on all hosts.
        pub settings_digest: [u8; 32],
    }
}

impl Hello {
    /// Returns why this process cannot open a session with `other`, or `None` if it can.
    pub fn incompatibility(&self, other: &Hello) -> Option<String> {
        if self.protocol != other.protocol {
            return Some(format!(
                "host {} uses protocol version {}, this host {}; run the same release on both",
                other.host, other.protocol, self.protocol
            ));
        }
        if self.cluster != other.cluster {
            return Some(format!(
                "host {} belongs to cluster {}, this host to {}; correct `cluster` in the settings",
                other.host, other.cluster, self.cluster
            ));
        }
        if self.settings_digest != other.settings_digest {
            return Some(format!(
                "host {} has different timing settings; set the lease, beat and election times to \
                 the same values on all hosts",
                other.host
            ));
        }
        None
    }
}
