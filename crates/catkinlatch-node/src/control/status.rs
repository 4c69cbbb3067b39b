//! A node's place in the control log.

use super::Member;
use catkinlatch_base::{HostId, Instant, Revision, Term};
use catkinlatch_fleet::Lease;
use catkinlatch_log::Role;

/// A node's place in the control log.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// What the node does in the log.
    pub role: Option<Role>,
    /// The newest term that it has seen.
    pub term: Term,
    /// The leader's host, as far as the node knows.
    pub leader: Option<HostId>,
    /// The lease of this node, if it leads; it may have run out since.
    pub lease: Option<Lease>,
    /// Until when the node may serve with the configuration that it has.
    pub configuration_until: Option<Instant>,
    /// The last position that is known to be committed.
    pub commit: Revision,
    /// The hosts that vote.
    pub voters: Vec<HostId>,
    /// What this node knows of all nodes while it leads.
    pub members: Vec<Member>,
}
