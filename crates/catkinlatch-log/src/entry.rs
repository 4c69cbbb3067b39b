//! Log entries and their positions.

use crate::Membership;
use catkinlatch_base::Term;
use derive_more::{Display, FromStr};

catkinlatch_base::derive_value! {
    /// Position in the log, counted from 1.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
    pub struct Index(u64);
}

impl Index {
    /// Position before the first entry.
    pub const ZERO: Self = Self(0);

    /// Creates a position from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the position as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next position.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the previous position, or zero.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

catkinlatch_base::derive_value! {
    /// Log entry.
    pub struct Entry<C> {
        /// Position in the log.
        pub index: Index,
        /// Term of the leader that created the entry.
        pub term: Term,
        /// Content of the entry.
        pub payload: Payload<C>,
    }
}

catkinlatch_base::derive_value! {
    /// Content of an entry.
    pub enum Payload<C> {
        /// Nothing. Starts the term of a new leader.
        Empty,
        /// A command for the state machine.
        Command(C),
        /// A membership change, in effect from this entry on.
        Members(Membership),
    }
}
