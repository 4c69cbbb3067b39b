//! What must survive a restart, and the files that hold it.

mod disk;
mod error;
mod file;
mod memory;
mod record;
mod restored;
mod scan;
mod window;
mod writer;

pub use self::{
    disk::{Disk, Opened},
    error::OpenError,
    memory::Memory,
    restored::Restored,
    writer::Writer,
};

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

/// What the core asks to be written as one unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Write<C> {
    /// Counts the writes of one run from 1.
    pub number: u64,
    /// The new term and vote.
    pub hard_state: Option<HardState>,
    /// A snapshot; the log then becomes `hard` and `entries` alone.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries from this position on are dropped before the new ones are written.
    pub truncate: Option<Index>,
    /// New entries, or all entries if there is a snapshot.
    pub entries: Vec<Arc<Entry<C>>>,
}

impl<C> Write<C> {
    /// Creates a write that holds nothing.
    pub fn new(number: u64) -> Self {
        Self { number, hard_state: None, snapshot: None, truncate: None, entries: Vec::new() }
    }

    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.truncate.is_none()
            && self.entries.is_empty()
    }
}
