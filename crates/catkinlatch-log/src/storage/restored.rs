//! State restored from storage on a restart.

use crate::{Entry, HardState, Index, Snapshot, Write};
use std::sync::Arc;

/// State restored from storage on a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Restored<C> {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot, possibly preceded by some that it covers.
    pub entries: Vec<Arc<Entry<C>>>,
}

impl<C> Restored<C> {
    /// Returns whether the storage is empty, so that the identity has no earlier state.
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }

    /// Applies a write.
    pub fn apply(&mut self, write: &Write<C>) {
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = Some(snapshot.clone());
            self.entries.clear();
        }
        if let Some(from) = write.truncate {
            self.truncate(from);
        }
        self.entries.extend(write.entries.iter().cloned());
    }

    /// Drops the entries at and after `from`.
    pub fn truncate(&mut self, from: Index) {
        while self.entries.last().is_some_and(|entry| entry.index >= from) {
            self.entries.pop();
        }
    }
}

impl<C> Default for Restored<C> {
    fn default() -> Self {
        Self { hard_state: HardState::default(), snapshot: None, entries: Vec::new() }
    }
}
