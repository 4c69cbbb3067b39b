//! What nodes say to each other.

use crate::{control, operator::status, settings::Agreement, targets::Withdrawal, trainer, usage};
use catkinlatch_base::{Revision, WindowId, derive_value};
use catkinlatch_fleet::usage::Answer;
use catkinlatch_log::Frame;
use catkinlatch_route::Announcement;
use catkinlatch_state::Command;

derive_value! {
    /// A message from one node to another.
    pub enum Message {
        /// Tells a node that this one met which settings it has.
        Greeting(Agreement),
        /// Belongs to the control log.
        Control(Box<Frame<Command>>),
        /// Asks the leader to commit a command.
        Propose(Command),
        /// Asks the leader to answer once a change is in force on every node.
        InForce(Revision),
        /// Asks the leader what it knows of the nodes.
        Members,
        /// Concerns a trainer's coordinator.
        Rollout(trainer::Message),
        /// Asks a node what it says of itself.
        Node,
        /// Asks a host to hold usage counters.
        KeepUsage(usage::Handover),
        /// Asks a host to end a usage window and to say what it counted and holds.
        CloseUsage(WindowId),
        /// A target announced itself to the sender, or renewed its announcement.
        Announce(Box<Announcement>),
        /// A target withdrew at the sender.
        Withdraw(Withdrawal),
        /// The sender drains and takes no new callers.
        Leaving,
    }
}

derive_value! {
    /// The answer to a message.
    pub enum Reply {
        /// There is nothing to say.
        Nothing,
        /// What became of a proposal.
        Proposed(Result<control::Outcome, control::ProposeError>),
        /// Whether the change is in force.
        InForce(bool),
        /// What a coordinator answers.
        Rollout(trainer::Reply),
        /// What the leader knows of the nodes.
        Members(Vec<control::Member>),
        /// What a node says of itself.
        Node(status::Node),
        /// What a host counted and holds.
        Usage(Answer),
    }
}
