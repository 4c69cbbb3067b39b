//! Actions that the core requests from its driver.

use crate::{Frame, Index, Membership, Peer, Token, Write};
use catkinlatch_base::{HostId, Instant, Term};
use derive_more::Display;
use std::time::Duration;

/// An action for the driver to perform, in the order returned.
///
/// The driver must publish the state machine's new state before it sends any frame that follows
/// [`Action::Applied`], because a reply confirms to the leader that the state is in use on this
/// node.
#[derive(Clone, Debug)]
pub enum Action<C, R> {
    /// Write and sync this, then report completion with [`crate::Input::Persisted`].
    ///
    /// Several writes may share one sync.
    Persist(Write<C>),
    /// A command was applied to the local state machine.
    Applied {
        /// Token of the proposal, if it was proposed on this node.
        token: Option<Token>,
        /// Position of the command in the log.
        index: Index,
        /// Reply of the state machine.
        reply: R,
    },
    /// The state machine was replaced by a snapshot received from the leader.
    Restored {
        /// Last entry that the snapshot covers.
        index: Index,
    },
    /// The state machine is up to date for this linearizable read.
    ReadReady {
        /// Token of the [`crate::Input::Read`].
        token: Token,
    },
    /// A request was refused.
    Refused {
        /// Token of the request.
        token: Token,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// Send a frame to the node on this host. Delivery is not guaranteed.
    Send {
        /// Destination host.
        to: HostId,
        /// Frame to send.
        frame: Frame<C>,
    },
    /// The role, term or known leader of this node changed.
    RoleChanged {
        /// Current role.
        role: Role,
        /// Current term.
        term: Term,
        /// Current leader; `None` if it is unknown.
        leader: Option<Peer>,
    },
    /// A condition to report to the operator.
    Report(Report),
    /// Deliver [`crate::Input::Tick`] at this time unless another input is delivered earlier.
    Wake {
        /// Time on the node's clock.
        at: Instant,
    },
}

/// Reason why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// Not executed: this node is not the leader.
    #[display("this node is not the leader; send the request to the leader")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<Peer>,
    },
    /// Not executed: too many requests are pending.
    #[display("too many requests are pending; retry later")]
    Overloaded,
    /// The command was overwritten by another leader's entry and will never be applied.
    #[display("the change was overwritten by another leader and was not applied")]
    Lost,
    /// The command may or may not have been applied.
    #[display("the outcome of the change is unknown; retry with the same request id")]
    Unknown,
    /// Not executed: these hosts have not been in contact recently.
    #[display("hosts have not been in contact recently; start them or omit them")]
    Unreachable {
        /// Hosts that sent no recent hello. May be empty if the request omits the receiving host.
        hosts: Vec<HostId>,
    },
}

/// Role of a node in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Role {
    /// Receives entries or heartbeats and does not vote.
    #[display("learner")]
    Learner,
    /// Receives entries and votes.
    #[display("follower")]
    Follower,
    /// Requests pre-votes or votes.
    #[display("candidate")]
    Candidate,
    /// Accepts proposals and replicates entries.
    #[display("leader")]
    Leader,
    /// Storage failed; the node takes no part until it is restarted.
    #[display("failed")]
    Failed,
}

/// Condition that an operator should know about.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Report {
    /// The leader is changing the voters.
    #[display("changing voters to {}", hosts(membership))]
    Members {
        /// The new voters.
        membership: Membership,
    },
    /// The voters with a disk no longer form a quorum by themselves, so the state would not survive
    /// a power loss on all hosts.
    #[display(
        "{disks} of {voters} voters have a disk, fewer than a quorum; restore a host with a disk"
    )]
    DiskQuorumLost {
        /// Number of voters with a disk.
        disks: usize,
        /// Number of all voters.
        voters: usize,
    },
    /// A voter is unresponsive and no node can replace it.
    #[display(
        "voter on host {} is unresponsive and no spare has caught up; start another host",
        voter.host
    )]
    NoReplacement {
        /// The unresponsive voter.
        voter: Peer,
    },
    /// This node has had no leader for some time.
    Leaderless(Leaderless),
}

/// What a node without a leader has observed since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display(
    "no leader for {} ms (voter: {is_voter}, log ends at entry {last_index} of term {last_term}); \
     voters without an answer: [{}]; voters that refuse their vote: [{}]; seeds that greet: [{}]",
    age.as_millis(),
    join(silent),
    join(refusing),
    join(greeting)
)]
pub struct Leaderless {
    /// Time since the node had a leader.
    pub age: Duration,
    /// Whether the node is a voter of the newest configuration in its log.
    pub is_voter: bool,
    /// Voters that answered no request for their vote; all of them if this node is none.
    pub silent: Vec<HostId>,
    /// Voters that refused their vote.
    pub refusing: Vec<HostId>,
    /// Seeds that have recently greeted this node.
    pub greeting: Vec<HostId>,
    /// Last position in the node's log.
    pub last_index: Index,
    /// Term of the entry at that position.
    pub last_term: Term,
}

/// Formats the hosts of the voters as a comma-separated list.
fn hosts(membership: &Membership) -> String {
    let hosts: Vec<HostId> = membership.voters().iter().map(|voter| voter.host.clone()).collect();
    join(&hosts)
}

/// Formats hosts as a comma-separated list.
fn join(hosts: &[HostId]) -> String {
    let hosts: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    hosts.join(", ")
}
