//! What a leader keeps about its term.

use crate::{Echo, Index, Peer, Snapshot, Token};
use catkinlatch_base::{Incarnation, Instant};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// What a leader keeps about its term.
#[derive(Clone, Debug)]
pub struct Leader {
    /// When it was elected.
    pub since: Instant,
    /// The entry that opened its term.
    pub term_start: Index,
    /// All other nodes that take entries.
    pub progress: BTreeMap<Incarnation, Progress>,
    /// When commits happened that are still younger than the configuration bound.
    pub recent_commits: VecDeque<(Index, Instant)>,
    /// The newest commit that is older than that.
    pub in_force_through: Index,
    /// Reads that wait for a quorum to confirm the leader.
    pub pending_reads: Vec<(Token, Instant)>,
    /// Until when this node may trust its own configuration.
    pub configuration_until: Instant,
    /// When the voters are looked at next.
    pub repair_at: Instant,
    /// Whether the state of the voters has been reported.
    pub reported: bool,
    /// The learners that are about to vote, and since when there are any.
    pub promotions: Option<(BTreeSet<Incarnation>, Instant)>,
    /// When the learners are looked at next.
    pub promote_at: Instant,
}

/// What a leader knows about one node.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The node.
    pub peer: Peer,
    /// The last position that the node has synced.
    pub matched: Index,
    /// The next position to send.
    pub next: Index,
    /// The last position that the node has applied.
    pub applied: Index,
    /// The leader's clock at the newest sending that the node has answered.
    pub confirmed: Option<Instant>,
    /// When the node last answered, or was first heard of.
    pub last_contact: Instant,
    /// The node's clock at its newest answer.
    pub echo: Option<Echo>,
    /// The latest moment at which the node's configuration lease runs out.
    pub lease_bound: Option<Instant>,
    /// When the node is due for a heartbeat.
    pub heartbeat_at: Instant,
    /// The snapshot that is being sent, and how many bytes of it have arrived.
    pub transfer: Option<(Arc<Snapshot>, u64)>,
    /// When the newest entries were sent to a node whose log did not match; others wait for it.
    pub probe: Option<Instant>,
    /// The commit position that was last sent.
    pub commit_sent: Index,
}

impl Progress {
    /// Starts to follow a node.
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
