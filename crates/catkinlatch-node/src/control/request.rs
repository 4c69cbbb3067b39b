//! What the handle asks of the driver.

use catkinlatch_base::{HostId, Revision, derive_value};
use catkinlatch_log::Frame;
use catkinlatch_state::{Command, Reply};
use derive_more::{Display, Error};
use tokio::sync::oneshot;

derive_value! {
    /// Says why a command got no answer.
    #[derive(Eq, Display, Error)]
    pub enum ProposeError {
        /// The command was not committed and never will be.
        #[display("control has no leader; retry in a moment")]
        NoLeader,
        /// The command may or may not be committed.
        #[display("control did not answer in time; the change may still be made")]
        Unknown,
    }
}

derive_value! {
    /// A command that was committed and applied.
    pub struct Proposed {
        /// What applying it answered.
        pub reply: Reply,
        /// The revision that it made.
        pub revision: Revision,
    }
}

/// What the handle asks of the driver.
#[derive(Debug)]
pub enum Request {
    /// Commit a command.
    Propose {
        /// The command.
        command: Box<Command>,
        /// Takes the answer.
        answer: oneshot::Sender<Result<Proposed, ProposeError>>,
    },
    /// Take a frame of another node.
    Receive(Box<Frame<Command>>),
    /// Answer once a change is in force.
    InForce {
        /// The revision that the change made.
        revision: Revision,
        /// Takes the answer.
        answer: oneshot::Sender<Result<(), ProposeError>>,
    },
    /// Make these hosts the voters.
    Override {
        /// The hosts.
        hosts: Vec<HostId>,
        /// Takes the answer.
        answer: oneshot::Sender<Result<(), ProposeError>>,
    },
}
