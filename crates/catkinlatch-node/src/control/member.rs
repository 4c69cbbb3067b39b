//! What the leader knows of a node.

use catkinlatch_base::{HostId, Incarnation, Revision, ZoneId, derive_schema};

derive_schema! {
    /// What the leader knows of a node.
    #[derive(Eq)]
    pub struct Member {
        /// The host.
        pub host: HostId,
        /// Identifies the node in the control log.
        pub identity: Incarnation,
        /// The availability zone.
        pub zone: ZoneId,
        /// Whether it votes.
        pub votes: bool,
        /// Whether its identity survives a restart.
        pub has_disk: bool,
        /// The last position that it applied.
        pub revision: Revision,
    }
}
