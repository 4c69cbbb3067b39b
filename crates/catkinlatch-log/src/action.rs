//! What the core asks for.

use crate::{Frame, Index, Membership, Peer, Token, Write};
use catkinlatch_base::{HostId, Instant, Term};
use derive_more::Display;

/// What the driver should do, in this order.
///
/// The driver makes the state machine's new state visible before it sends anything that follows
/// [`Action::Applied`], since a reply tells the leader that the state is in use here.
#[derive(Clone, Debug)]
pub enum Action<C, R> {
    /// Write this, sync it, and then tell the core by [`crate::Input::Persisted`].
    ///
    /// Several writes may share one sync.
    Persist(Write<C>),
    /// A command was applied here.
    Applied {
        /// The request that proposed it, if it was proposed here.
        token: Option<Token>,
        /// Its position.
        index: Index,
        /// What the state machine answered.
        reply: R,
    },
    /// The state machine was replaced by a snapshot.
    Restored {
        /// The last entry that the snapshot covers.
        index: Index,
    },
    /// The state machine is current for this read.
    ReadReady {
        /// The request.
        token: Token,
    },
    /// A request is answered with a refusal.
    Refused {
        /// The request.
        token: Token,
        /// Why.
        refusal: Refusal,
    },
    /// Send a frame to the node on this host; it may be lost.
    Send {
        /// The host.
        to: HostId,
        /// The frame.
        frame: Frame<C>,
    },
    /// The node's role, term or leader changed.
    Changed {
        /// The role now.
        role: Role,
        /// The term now.
        term: Term,
        /// The leader now.
        leader: Option<Peer>,
    },
    /// Something that an operator should know.
    Report(Report),
    /// Give [`crate::Input::Tick`] at this time, unless there is other input before.
    Wake {
        /// The time on the node's clock.
        at: Instant,
    },
}

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// Nothing was done: this node does not lead.
    #[display("this node does not lead; ask the leader")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<Peer>,
    },
    /// Nothing was done: too many proposals wait.
    #[display("too many proposals wait; try again later")]
    Overloaded,
    /// The command was replaced by another leader's and will never be applied.
    #[display("another leader replaced the change; it was not applied")]
    Lost,
    /// The command may or may not have been applied.
    #[display("the outcome of the change is unknown; ask again with the same request id")]
    Unknown,
    /// Nothing was done: these hosts were not heard from of late.
    #[display("hosts were not heard from; start them or leave them out")]
    Unreachable {
        /// The hosts.
        hosts: Vec<HostId>,
    },
}

/// What a node does in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Role {
    /// Takes entries and does not vote.
    #[display("learner")]
    Learner,
    /// Takes entries and votes.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
    /// Its storage failed; it takes no part until it is restarted.
    #[display("failed")]
    Failed,
}

/// Something that an operator should know.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Report {
    /// The voters will change.
    #[display("voters change to {}", hosts(membership))]
    Members {
        /// The new voters.
        membership: Membership,
    },
    /// The voters with a disk no longer form a quorum alone, so that the state would not survive
    /// a loss of power to all hosts.
    #[display(
        "{disks} of {voters} voters have a disk, which is no quorum; bring back a host with a disk"
    )]
    DisksOutvoted {
        /// Voters with a disk.
        disks: usize,
        /// All voters.
        voters: usize,
    },
    /// A voter is silent and there is no node to take its place.
    #[display("voter on host {} is silent and no spare is caught up; start another host", voter.host)]
    NoSpare {
        /// The voter.
        voter: Peer,
    },
}

/// Lists the hosts of the voters.
fn hosts(membership: &Membership) -> String {
    let hosts: Vec<&str> = membership.voters().iter().map(|voter| voter.host.as_str()).collect();
    hosts.join(", ")
}
