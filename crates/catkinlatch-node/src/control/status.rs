//! The status of a node in the control log.

use super::Member;
use catkinlatch_base::{HostId, Instant, Revision, Term};
use catkinlatch_fleet::Lease;
use catkinlatch_log::Role;

/// The status of a node in the control log.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The node's role in the log; `None` until the driver has made its first step.
    pub role: Option<Role>,
    /// The newest term that the node has seen.
    pub term: Term,
    /// The host of the leader; `None` if the node knows none.
    pub leader: Option<HostId>,
    /// The leader lease, if this node leads; it may have expired since the status was published.
    pub lease: Option<Lease>,
    /// When the node's configuration lease ends; the node must not serve later or without one.
    pub configuration_until: Option<Instant>,
    /// The last revision that the node knows to be committed.
    pub commit: Revision,
    /// The hosts of the voters.
    pub voters: Vec<HostId>,
    /// All nodes as this node sees them; empty unless it leads.
    pub members: Vec<Member>,
}
