//! What must survive a restart, and the files that hold it.

use crate::{Entry, Index, Snapshot};
use catkinlatch_base::{Incarnation, Term};
use std::sync::Arc;

catkinlatch_base::derive_value! {
    /// The term and vote, which a voter must not forget.
    #[derive(Copy, Default, Eq)]
    pub struct HardState {
        /// The newest term that the node has seen.
        pub term: Term,
        /// The identity that it voted for in that term.
        pub vote: Option<Incarnation>,
    }
}

/// What the core asks to be written as one unit, in this order.
#[derive(Clone, Debug, PartialEq)]
pub struct Write<C> {
    /// Counts the writes of one run from 1.
    pub number: u64,
    /// The new term and vote.
    pub hard: Option<HardState>,
    /// A snapshot, which replaces all entries up to it; `keep_entries` says which others stay.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether entries after the snapshot stay; if not, they are dropped with it.
    pub keep_entries: bool,
    /// Entries from this position on are dropped before the new ones are written.
    pub truncate: Option<Index>,
    /// New entries.
    pub entries: Vec<Arc<Entry<C>>>,
}

impl<C> Write<C> {
    /// Creates a write that holds nothing.
    pub fn new(number: u64) -> Self {
        Self {
            number,
            hard: None,
            snapshot: None,
            keep_entries: true,
            truncate: None,
            entries: Vec::new(),
        }
    }

    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard.is_none()
            && self.snapshot.is_none()
            && self.truncate.is_none()
            && self.entries.is_empty()
    }
}

/// What a restart found.
#[derive(Clone, Debug, PartialEq)]
pub struct Restored<C> {
    /// The term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, and maybe some before.
    pub entries: Vec<Arc<Entry<C>>>,
}

impl<C> Default for Restored<C> {
    fn default() -> Self {
        Self { hard: HardState::default(), snapshot: None, entries: Vec::new() }
    }
}

impl<C> Restored<C> {
    /// Returns whether there is nothing, so that the identity has no past.
    pub fn is_empty(&self) -> bool {
        self.hard == HardState::default() && self.snapshot.is_none() && self.entries.is_empty()
    }
}
