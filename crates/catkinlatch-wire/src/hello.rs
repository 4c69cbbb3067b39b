//! What two processes tell each other when they meet.

use catkinlatch_base::{ClusterId, HostId, Incarnation, ZoneId, derive_value};

/// The version of the protocol between processes.
pub const PROTOCOL: u32 = 1;

derive_value! {
    /// Who a process is, and what it must agree on with the others.
    pub struct Hello {
        /// The version of the protocol.
        pub protocol: u32,
        /// The cluster.
        pub cluster: ClusterId,
        /// The host.
        pub host: HostId,
        /// The start of the host's process.
        pub incarnation: Incarnation,
        /// The availability zone.
        pub zone: ZoneId,
        /// The digest of the settings that must be the same on all hosts.
        pub agreement: [u8; 32],
    }
}

impl Hello {
    /// Returns why this process cannot work with `other`, if it cannot.
    pub fn disagreement(&self, other: &Hello) -> Option<String> {
        if self.protocol != other.protocol {
            return Some(format!(
                "host {} speaks protocol {}, this one {}; run the same release on both",
                other.host, other.protocol, self.protocol
            ));
        }
        if self.cluster != other.cluster {
            return Some(format!(
                "host {} belongs to cluster {}, this one to {}; correct `cluster` in the settings",
                other.host, other.cluster, self.cluster
            ));
        }
        if self.agreement != other.agreement {
            return Some(format!(
                "host {} has other times in its settings; make the lease, beat and election times \
                 the same on all hosts",
                other.host
            ));
        }
        None
    }
}
