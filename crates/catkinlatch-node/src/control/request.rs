//! Requests of the handle to the driver, and their outcomes.

use catkinlatch_base::{HostId, Revision, derive_value};
use catkinlatch_log::Frame;
use catkinlatch_state::{Command, Reply};
use derive_more::{Display, Error};
use tokio::sync::oneshot;

derive_value! {
    /// Why a command was not committed, or is not known to be.
    #[derive(Eq, Display, Error)]
    pub enum ProposeError {
        /// The command was not committed and will not be: there is no leader, or the
        /// leader refused it.
        #[display("control has no leader; retry in a moment")]
        NoLeader,
        /// The command may have been committed or may still be.
        #[display("control did not answer in time; the change may still be made")]
        Unknown,
    }
}

derive_value! {
    /// The outcome of a command that was committed and applied.
    pub struct Outcome {
        /// The reply of the state machine.
        pub reply: Reply,
        /// The position of the command in the control log.
        pub revision: Revision,
    }
}

/// A request of the handle to the driver.
#[derive(Debug)]
pub enum Request {
    /// Commits a command.
    Propose {
        /// The command to commit.
        command: Box<Command>,
        /// Receives the answer.
        answer: oneshot::Sender<Result<Outcome, ProposeError>>,
    },
    /// Processes a frame of another node.
    Receive(Box<Frame<Command>>),
    /// Is answered once a change is in force.
    InForce {
        /// The revision of the change.
        revision: Revision,
        /// Receives the answer.
        answer: oneshot::Sender<Result<(), ProposeError>>,
    },
    /// Makes these hosts the voters without asking a quorum.
    Override {
        /// The hosts of the new voters.
        hosts: Vec<HostId>,
        /// Receives the answer.
        answer: oneshot::Sender<Result<(), ProposeError>>,
    },
}
