//! A node of the control log as the leader sees it.

use catkinlatch_base::{HostId, Incarnation, Revision, ZoneId, derive_schema};

derive_schema! {
    /// A node of the control log as the leader sees it.
    #[derive(Eq)]
    pub struct Member {
        /// The host that the node runs on.
        pub host: HostId,
        /// The identity of the node in the control log.
        pub identity: Incarnation,
        /// The availability zone of the host.
        pub zone: ZoneId,
        /// Whether the node is a voter; otherwise it is a learner.
        pub votes: bool,
        /// Whether the node has a disk, so that its identity survives a restart.
        pub has_disk: bool,
        /// The revision that the node has applied; 0 if the leader does not know it.
        pub revision: Revision,
    }
}
