//! What the core is told.

use crate::Frame;
use catkinlatch_base::HostId;
use derive_more::Display;

catkinlatch_base::derive_value! {
    /// Names a request of the driver until it is answered.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash, Display)]
    pub struct Token(u64);
}

impl Token {
    /// Wraps a number, which the driver chooses and does not use twice.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Input<C> {
    /// Time has passed.
    Tick,
    /// A frame came in.
    Receive(Frame<C>),
    /// All writes up to this number are synced.
    Persisted {
        /// [`crate::Write::number`] of the newest of them.
        through: u64,
    },
    /// A write or sync failed; what it held may or may not be on disk.
    StorageFailed,
    /// Commits a command.
    Propose {
        /// Comes back with the answer.
        token: Token,
        /// The command.
        command: C,
    },
    /// Asks for a moment at which the state machine is current.
    Read {
        /// Comes back with the answer.
        token: Token,
    },
    /// Makes these hosts the voters by an operator's hand, without asking a quorum.
    ///
    /// Committed changes are lost if none of the hosts holds them. All other voters must be
    /// stopped for good before.
    Override {
        /// Comes back if it is refused.
        token: Token,
        /// The new voters; this host must be one of them.
        hosts: Vec<HostId>,
    },
}
