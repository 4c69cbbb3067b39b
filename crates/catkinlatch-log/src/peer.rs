//! Who takes part in the log.

use catkinlatch_base::{HostId, Incarnation, ZoneId};
use derive_more::Display;

catkinlatch_base::derive_value! {
    /// One identity of a node.
    ///
    /// A node that lost its synced state comes back under a new incarnation and so as a new
    /// identity, which has neither voted nor acknowledged anything.
    #[derive(Eq, PartialOrd, Ord, Hash, Display)]
    #[display("{host}")]
    pub struct Peer {
        /// The host that the node runs on.
        pub host: HostId,
        /// The start of the node that the identity belongs to.
        pub incarnation: Incarnation,
        /// The zone of the host.
        pub zone: ZoneId,
        /// Whether the identity survives a restart.
        pub has_disk: bool,
    }
}
