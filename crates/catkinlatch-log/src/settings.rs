//! Times and bounds of the log.

use crate::{Fault, Group, fault};
use catkinlatch_base::{ClusterId, HostId};
use std::time::Duration;

/// Times and bounds of the log, equal on all nodes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The cluster that the node belongs to.
    pub cluster: ClusterId,
    /// The group that this log replicates.
    pub group: Group,
    /// The hosts that a node without a leader turns to.
    pub hosts: Vec<HostId>,
    /// Whether hosts that are not in `hosts` may become voters.
    ///
    /// Set where a node is told a few hosts only and learns of the others as they join.
    pub is_open: bool,
    /// Whether all learners get entries; otherwise only those that are about to vote, so that a host
    /// in reserve costs neither memory nor traffic.
    pub feeds_learners: bool,
    /// The voters of the first configuration; empty on a node that only joins.
    pub initial_voters: Vec<HostId>,
    /// How often the leader speaks to each voter.
    pub beat: Duration,
    /// How often the leader speaks to each learner, apart from commits.
    pub learner_beat: Duration,
    /// How long a voter stands by a leader that it has heard; the shortest election timeout.
    pub election: Duration,
    /// The largest error of a clock's rate, as a share of it.
    pub drift: f64,
    /// How long a node may trust its configuration after it last spoke to the leader.
    pub configuration_lease: Duration,
    /// How long a voter may be silent before it is replaced.
    pub silence: Duration,
    /// How long the leader keeps a silent learner.
    pub forget: Duration,
    /// The most voters.
    pub max_voters: usize,
    /// The most learners.
    pub max_learners: usize,
    /// The most entries of one message.
    pub max_entries: usize,
    /// The most entries sent ahead of their acknowledgement, for each node.
    pub max_ahead: u64,
    /// The most proposals that wait for their commit.
    pub max_pending: usize,
    /// The most bytes of one part of a snapshot.
    pub chunk_bytes: usize,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    /// Entries kept before a snapshot for nodes that lag a little.
    pub snapshot_keep: u64,
}

impl Settings {
    /// Creates the default settings for a cluster of these hosts.
    pub fn new(cluster: ClusterId, hosts: Vec<HostId>, initial_voters: Vec<HostId>) -> Self {
        Self {
            cluster,
            group: Group::default(),
            hosts,
            is_open: false,
            feeds_learners: true,
            initial_voters,
            beat: Duration::from_millis(200),
            learner_beat: Duration::from_secs(1),
            election: Duration::from_secs(1),
            drift: 0.1,
            configuration_lease: Duration::from_secs(5),
            silence: Duration::from_secs(5),
            forget: Duration::from_secs(30),
            max_voters: 5,
            max_learners: 1024,
            max_entries: 256,
            max_ahead: 4096,
            max_pending: 65_536,
            chunk_bytes: 256 << 10,
            snapshot_every: 10_000,
            snapshot_keep: 1_000,
        }
    }

    /// Returns all that is wrong with these settings; a node must not start while there is any.
    pub fn faults(&self) -> Vec<Fault> {
        fault::check(self)
    }

    /// Returns how long the leader lease lasts on the leader's clock, from when the beat was sent.
    ///
    /// The leader's clock may be slow and the voters' fast, each by the drift.
    pub fn leader_lease(&self) -> Duration {
        self.election.mul_f64((1.0 - self.drift) / (1.0 + self.drift))
    }

    /// Returns how long the leader must assume that a configuration lease lasts.
    ///
    /// The leader's clock may be fast and the holder's slow, each by the drift.
    pub fn configuration_bound(&self) -> Duration {
        self.configuration_lease.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}
