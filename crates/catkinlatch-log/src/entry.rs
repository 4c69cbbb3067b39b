//! Entries of the log.

use crate::Membership;
use catkinlatch_base::Term;
use derive_more::{Display, FromStr};

catkinlatch_base::derive_value! {
    /// A position in the log, counted from 1.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
    pub struct Index(u64);
}

impl Index {
    /// The position before the first entry.
    pub const ZERO: Self = Self(0);

    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the position that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the position before, or zero.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

catkinlatch_base::derive_value! {
    /// One entry of the log.
    pub struct Entry<C> {
        /// Its position.
        pub index: Index,
        /// The term of the leader that made it.
        pub term: Term,
        /// What it holds.
        pub payload: Payload<C>,
    }
}

catkinlatch_base::derive_value! {
    /// What an entry holds.
    pub enum Payload<C> {
        /// Nothing; opens the term of a new leader.
        Empty,
        /// A command for the state machine.
        Command(C),
        /// The voters from this entry on.
        Members(Membership),
    }
}
