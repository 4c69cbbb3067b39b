//! Timeouts and limits of the log.

use crate::{Fault, Group, fault};
use catkinlatch_base::{ClusterId, HostId};
use std::time::Duration;

/// Timeouts and limits of the log, which must be equal on all nodes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Cluster that the node belongs to.
    pub cluster: ClusterId,
    /// Group that this log replicates.
    pub group: Group,
    /// Hosts to which a node without a leader sends hellos.
    pub hosts: Vec<HostId>,
    /// Whether hosts that are not in `hosts` may become voters.
    ///
    /// Set where nodes are configured with a few seed hosts and discover the others as they join.
    pub allows_unlisted_voters: bool,
    /// Whether entries are sent to all learners. Otherwise they are sent only to learners selected
    /// for promotion, so that a reserve host costs neither memory nor traffic.
    pub replicates_to_all_learners: bool,
    /// Voters of the first configuration; empty on a node that only joins an existing cluster.
    pub initial_voters: Vec<HostId>,
    /// Heartbeat interval of voters.
    pub heartbeat_interval: Duration,
    /// Heartbeat interval of learners. Commits are sent without waiting for the next heartbeat.
    pub learner_heartbeat_interval: Duration,
    /// Minimum election timeout. A voter refuses votes to other candidates for this long after
    /// contact with a leader.
    pub election_timeout: Duration,
    /// Maximum error of a clock's rate, as a fraction (0.1 means 10%).
    pub max_clock_drift: f64,
    /// How long a node may rely on its configuration after its last contact with the leader.
    pub configuration_lease: Duration,
    /// How long a voter may be unresponsive before it is replaced.
    pub voter_timeout: Duration,
    /// How long the leader keeps an unresponsive learner. At least
    /// [`Settings::configuration_bound`] is used.
    pub learner_timeout: Duration,
    /// Maximum number of voters.
    pub max_voters: usize,
    /// Maximum number of learners. The leader accepts no new learner while it tracks this many
    /// other nodes, voters included.
    pub max_learners: usize,
    /// Maximum number of entries in one message.
    pub max_entries: usize,
    /// Number of bytes of entries from which a message holds no further one.
    pub max_entry_bytes: usize,
    /// Maximum number of unacknowledged entries in flight to each node.
    pub max_in_flight_entries: u64,
    /// Number of bytes of unacknowledged entries in flight to a node from which no more are sent.
    pub max_in_flight_bytes: usize,
    /// Maximum number of uncommitted proposals, and of reads that wait for confirmation by a
    /// quorum.
    pub max_pending: usize,
    /// Maximum size of one snapshot chunk, in bytes.
    pub chunk_bytes: usize,
    /// Number of entries applied between two snapshots.
    pub snapshot_every: u64,
    /// Number of bytes of entries applied between two snapshots, if the state is smaller.
    pub snapshot_bytes: usize,
    /// Number of entries kept before a snapshot for nodes that are slightly behind.
    pub snapshot_keep: u64,
    /// Number of bytes of entries kept before a snapshot.
    pub snapshot_keep_bytes: usize,
}

impl Settings {
    /// Creates default settings for a cluster of these hosts.
    pub fn new(cluster: ClusterId, hosts: Vec<HostId>, initial_voters: Vec<HostId>) -> Self {
        Self {
            cluster,
            group: Group::default(),
            hosts,
            allows_unlisted_voters: false,
            replicates_to_all_learners: true,
            initial_voters,
            heartbeat_interval: Duration::from_millis(200),
            learner_heartbeat_interval: Duration::from_secs(1),
            election_timeout: Duration::from_secs(1),
            max_clock_drift: 0.1,
            configuration_lease: Duration::from_secs(5),
            voter_timeout: Duration::from_secs(5),
            learner_timeout: Duration::from_secs(30),
            max_voters: 5,
            max_learners: 1024,
            max_entries: 256,
            max_entry_bytes: 4 << 20,
            max_in_flight_entries: 4096,
            max_in_flight_bytes: 16 << 20,
            max_pending: 65_536,
            chunk_bytes: 256 << 10,
            snapshot_every: 10_000,
            snapshot_bytes: 16 << 20,
            snapshot_keep: 1_000,
            snapshot_keep_bytes: 4 << 20,
        }
    }

    /// Returns all faults of these settings. A node must not start with faulty settings.
    pub fn faults(&self) -> Vec<Fault> {
        fault::check(self)
    }

    /// Returns the duration of the leader lease on the leader's clock, starting when the confirmed
    /// heartbeat was sent.
    ///
    /// Accounts for a slow clock on the leader and fast clocks on the voters, each off by the
    /// drift.
    pub fn leader_lease(&self) -> Duration {
        self.election_timeout.mul_f64((1.0 - self.max_clock_drift) / (1.0 + self.max_clock_drift))
    }

    /// Returns the longest time that a configuration lease may last, measured on the leader's
    /// clock.
    ///
    /// Accounts for a fast clock on the leader and a slow one on the lease holder, each off by the
    /// drift.
    pub fn configuration_bound(&self) -> Duration {
        self.configuration_lease
            .mul_f64((1.0 + self.max_clock_drift) / (1.0 - self.max_clock_drift))
    }
}
