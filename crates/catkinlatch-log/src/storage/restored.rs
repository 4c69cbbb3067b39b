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

    /// Drops all entries if the leader's snapshot replaces them; returns whether it does.
    ///
    /// A crash after the snapshot was written and before the log was replaced leaves entries on disk
    /// that end before the snapshot or conflict with it.
    pub fn drop_replaced(&mut self) -> bool {
        let is_replaced = self.is_replaced();
        if is_replaced {
            self.entries.clear();
        }
        is_replaced
    }

    /// Does the same as [`Restored::drop_replaced`] if `next` was written after the snapshot as the
    /// entry that follows it.
    pub(super) fn drop_replaced_before(&mut self, next: &Entry<C>) -> bool {
        let follows = |snapshot: &Arc<Snapshot>| {
            next.index == snapshot.index.next() && next.term >= snapshot.term
        };
        self.snapshot.as_ref().is_some_and(follows) && self.drop_replaced()
    }

    /// Returns whether there are entries, but they neither start right after the snapshot nor
    /// include its last entry with the same term.
    fn is_replaced(&self) -> bool {
        let (Some(snapshot), Some(first)) = (&self.snapshot, self.entries.first()) else {
            return false;
        };
        let is_last =
            |entry: &Arc<Entry<C>>| entry.index == snapshot.index && entry.term == snapshot.term;
        first.index != snapshot.index.next() && !self.entries.iter().any(is_last)
    }
}

impl<C> Default for Restored<C> {
    fn default() -> Self {
        Self { hard_state: HardState::default(), snapshot: None, entries: Vec::new() }
    }
}
