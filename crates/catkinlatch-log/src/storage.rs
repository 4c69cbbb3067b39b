//! Persistent state of a node: its parts, and its storage on disk or in memory.

mod disk;
mod error;
mod failure;
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
    failure::{Completion, Trust},
    file::{Change, Files},
    memory::Memory,
    restored::Restored,
    writer::Writer,
};

use crate::{Entry, Index, Snapshot};
use catkinlatch_base::{Incarnation, Term};
use std::sync::Arc;

catkinlatch_base::derive_value! {
    /// Term and vote, which a voter must persist before it replies.
    #[derive(Copy, Default, Eq)]
    pub struct HardState {
        /// Highest term that the node has seen.
        pub term: Term,
        /// Identity that the node voted for in that term.
        pub vote: Option<Incarnation>,
    }
}

/// A unit of state that the core requests to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Write<C> {
    /// Sequence number within one run, starting at 1.
    pub number: u64,
    /// New term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// New snapshot. If present, the log is replaced by `hard_state` and `entries`.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Position from which entries are dropped before the new ones are appended.
    pub truncate: Option<Index>,
    /// New entries; all entries in memory if there is a snapshot.
    pub entries: Vec<Arc<Entry<C>>>,
}

impl<C> Write<C> {
    /// Creates an empty write.
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
