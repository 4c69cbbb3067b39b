//! Identities of the nodes that replicate the log.

use catkinlatch_base::{HostId, Incarnation, ZoneId};
use derive_more::Display;

catkinlatch_base::derive_value! {
    /// Identity of a node.
    ///
    /// A node that has lost its synced state restarts under a new incarnation. It is then a new
    /// identity, which has neither voted nor acknowledged anything.
    #[derive(Eq, PartialOrd, Ord, Hash, Display)]
    #[display("{host}")]
    pub struct Peer {
        /// Host that the node runs on.
        pub host: HostId,
        /// Distinguishes this identity from others of the same host.
        pub incarnation: Incarnation,
        /// Availability zone of the host.
        pub zone: ZoneId,
        /// Whether the node has a disk, so that its identity survives a restart.
        pub has_disk: bool,
    }
}
