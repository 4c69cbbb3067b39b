//! Messages and replies between nodes.

use crate::{
    control, operator::status, settings::SharedDigests, targets::Withdrawal, trainer, usage,
};
use catkinlatch_base::{Revision, WindowId, derive_value};
use catkinlatch_fleet::usage::Answer;
use catkinlatch_log::Frame;
use catkinlatch_route::Announcement;
use catkinlatch_state::Command;

derive_value! {
    /// A message from one node to another.
    pub enum Message {
        /// The first message of a session: digests of the sender's settings, to be compared.
        Greeting(SharedDigests),
        /// A frame of the control log.
        Control(Box<Frame<Command>>),
        /// Asks the leader to commit a command.
        Propose(Command),
        /// Asks the leader to answer once a change is in force on every node.
        InForce(Revision),
        /// Asks the leader for the members of the control log.
        Members,
        /// A message to a trainer's coordinator.
        Rollout(trainer::Message),
        /// Asks a node for its status.
        Node,
        /// Asks a host to hold usage counters.
        KeepUsage(usage::Handover),
        /// Asks a host to close a usage window and to return the counts that it made and holds.
        CloseUsage(WindowId),
        /// A target has announced itself to the sender or renewed its announcement.
        Announce(Box<Announcement>),
        /// A target has withdrawn its announcement at the sender.
        Withdraw(Withdrawal),
        /// The sender is draining and accepts no new callers.
        Draining,
    }
}

derive_value! {
    /// The reply to a message.
    pub enum Reply {
        /// The message needs no reply.
        Nothing,
        /// The outcome of a proposal.
        Proposed(Result<control::Outcome, control::ProposeError>),
        /// Whether the change is known to be in force.
        InForce(bool),
        /// The reply of a trainer's coordinator.
        Rollout(trainer::Reply),
        /// The members of the control log as the leader sees them.
        Members(Vec<control::Member>),
        /// The status of a node.
        Node(status::Node),
        /// The usage counts that a host made and holds.
        Usage(Answer),
    }
}
