//! What a restart finds.

use crate::{Entry, HardState, Index, Snapshot, Write};
use std::sync::Arc;

/// What a restart found.
#[derive(Clone, Debug, PartialEq)]
pub struct Restored<C> {
    /// The term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, and maybe some before.
    pub entries: Vec<Arc<Entry<C>>>,
}

impl<C> Restored<C> {
    /// Returns whether there is nothing, so that the identity has no past.
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }

    /// Adds what a write holds.
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

    /// Drops the entries from a position on.
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
