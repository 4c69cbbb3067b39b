//! Inputs that a driver delivers to the core.

use crate::{Frame, storage::Completion};
use catkinlatch_base::HostId;
use derive_more::Display;

catkinlatch_base::derive_value! {
    /// Identifies a request of the driver until it is completed or refused.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash, Display)]
    pub struct Token(u64);
}

impl Token {
    /// Creates a token from a number, which the driver must not reuse.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the token as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl<C> From<Completion> for Input<C> {
    fn from(completion: Completion) -> Self {
        match completion {
            Completion::Persisted { through } => Self::Persisted { through },
            Completion::Failed(_) => Self::StorageFailed,
        }
    }
}

/// An input that a driver delivers to the core.
#[derive(Clone, Debug)]
pub enum Input<C> {
    /// Time has passed; see [`crate::Action::Wake`].
    Tick,
    /// A frame was received from another node.
    Receive(Frame<C>),
    /// All writes up to this number are synced.
    Persisted {
        /// [`crate::Write::number`] of the newest synced write.
        through: u64,
    },
    /// A write or sync failed; its content may or may not be on disk.
    StorageFailed,
    /// Proposes a command.
    Propose {
        /// Returned with [`crate::Action::Applied`] or [`crate::Action::Refused`].
        token: Token,
        /// The command to commit.
        command: C,
    },
    /// Requests a linearizable read of the state machine.
    Read {
        /// Returned with [`crate::Action::ReadReady`] or [`crate::Action::Refused`].
        token: Token,
    },
    /// Replaces the voters on an operator's request, without consulting a quorum.
    ///
    /// Committed changes are lost if none of the hosts holds them. All other voters must be stopped
    /// permanently beforehand.
    Override {
        /// Returned with [`crate::Action::Refused`] if the override is refused.
        token: Token,
        /// The new voters, which must include this host.
        hosts: Vec<HostId>,
    },
}
