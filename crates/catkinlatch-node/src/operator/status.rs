//! What an operator sees of a node.

use catkinlatch_base::{HostId, Revision, Term, ZoneId, derive_schema};
use catkinlatch_route::Announcement;

derive_schema! {
    /// What an operator sees of a node.
    pub struct Status {
        /// The host.
        pub host: HostId,
        /// The availability zone.
        pub zone: ZoneId,
        /// The leader's host, if there is one.
        pub leader: Option<HostId>,
        /// The term of the control log.
        pub term: Term,
        /// How many commands the node has applied.
        pub revision: Revision,
        /// The targets that the node knows.
        pub targets: Vec<Announcement>,
    }
}
