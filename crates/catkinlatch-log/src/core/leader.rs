//! State of a leader during its term.

use crate::{Echo, Index, Peer, Snapshot, Token};
use catkinlatch_base::{Incarnation, Instant};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// State of a leader during its term.
#[derive(Clone, Debug)]
pub struct Leader {
    /// When the node was elected.
    pub since: Instant,
    /// Position of the empty entry that started the term.
    pub term_start: Index,
    /// Replication progress of all other known nodes.
    pub progress: BTreeMap<Incarnation, Progress>,
    /// Commits newer than [`crate::Settings::configuration_bound`], each with its time.
    pub recent_commits: VecDeque<(Index, Instant)>,
    /// Newest commit older than that. By then it is in force on every node that holds a
    /// configuration lease.
    pub in_force_through: Index,
    /// Reads waiting for a quorum to confirm the leader, each with the time of its request.
    pub pending_reads: Vec<(Token, Instant)>,
    /// End of this node's own configuration lease.
    pub configuration_until: Instant,
    /// When the voters are checked next.
    pub repair_at: Instant,
    /// Whether the unresponsive voters have been reported to the operator.
    pub reported: bool,
    /// Learners selected for promotion to voter, and since when any have been selected.
    pub promotions: Option<(BTreeSet<Incarnation>, Instant)>,
    /// When learners are selected for promotion next.
    pub promote_at: Instant,
}

/// Replication progress of one node, as known to the leader.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Identity of the node.
    pub peer: Peer,
    /// Last position that the node has synced.
    pub matched: Index,
    /// Next position to send.
    pub next: Index,
    /// Last position that the node has applied.
    pub applied: Index,
    /// Leader's send time of the newest message to which the node has replied.
    pub confirmed: Option<Instant>,
    /// When the node last replied, or was added.
    pub last_contact: Instant,
    /// Reading of the node's clock in its newest reply.
    pub echo: Option<Echo>,
    /// Latest time at which the node's configuration lease expires, on the leader's clock.
    pub lease_bound: Option<Instant>,
    /// When the next heartbeat is due.
    pub heartbeat_at: Instant,
    /// Snapshot being sent, and the number of its bytes that the node has received.
    pub transfer: Option<(Arc<Snapshot>, u64)>,
    /// When the last probe was sent to a node whose log did not match. No further entries are sent
    /// until the node replies.
    pub probe: Option<Instant>,
    /// Commit position last sent to the node.
    pub commit_sent: Index,
}

impl Progress {
    /// Creates the progress of a node that has not replied yet.
    pub fn new(peer: Peer, next: Index, now: Instant) -> Self {
        Self {
            peer,
            matched: Index::ZERO,
            next,
            applied: Index::ZERO,
            confirmed: None,
            last_contact: now,
            echo: None,
            lease_bound: None,
            heartbeat_at: now,
            transfer: None,
            probe: None,
            commit_sent: Index::ZERO,
        }
    }
}
