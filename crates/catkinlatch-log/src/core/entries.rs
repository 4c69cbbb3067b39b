//! In-memory log entries and how far they are synced.

use crate::{Entry, Index, Membership, Payload, Restored, Snapshot, Write};
use catkinlatch_base::Term;
use std::{collections::VecDeque, sync::Arc};

/// Entries in memory that follow `base`, and the newest snapshot.
#[derive(Clone, Debug)]
pub struct Entries<C> {
    /// Position before the first entry in memory, and its term; the default term if it is unknown.
    base: (Index, Term),
    list: VecDeque<Arc<Entry<C>>>,
    snapshot: Option<Arc<Snapshot>>,
    /// Number and last position of each write that is not yet synced.
    writes: VecDeque<(u64, Index)>,
    durable: Index,
}

impl<C> Entries<C> {
    /// Creates the entries from restored storage, all of which is synced.
    pub fn new(mut restored: Restored<C>) -> Self {
        restored.drop_replaced();
        let Restored { snapshot, entries, .. } = restored;
        let list: VecDeque<Arc<Entry<C>>> = entries.into();
        let base = match (list.front(), &snapshot) {
            (Some(first), Some(snapshot)) if first.index > snapshot.index => {
                (snapshot.index, snapshot.term)
            }
            (Some(first), _) => (first.index.previous(), Term::default()),
            (None, Some(snapshot)) => (snapshot.index, snapshot.term),
            (None, None) => (Index::ZERO, Term::default()),
        };
        let writes = VecDeque::new();
        let mut entries = Self { base, list, snapshot, writes, durable: base.0 };
        entries.durable = entries.last_index();
        entries
    }

    /// Returns the position of the last entry.
    pub fn last_index(&self) -> Index {
        self.list.back().map_or(self.base.0, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.list.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Returns the position of the first entry in memory.
    pub fn first_index(&self) -> Index {
        self.base.0.next()
    }

    /// Returns the position of the last synced entry.
    pub fn durable(&self) -> Index {
        self.durable
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the entry at a position, or `None` if it is not in memory.
    pub fn get(&self, index: Index) -> Option<&Arc<Entry<C>>> {
        let offset = index.get().checked_sub(self.base.0.get() + 1)?;
        self.list.get(offset as usize)
    }

    /// Returns the term of the entry at a position, or `None` if it is unknown.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == Index::ZERO {
            return Some(Term::default());
        }
        if let Some(snapshot) = &self.snapshot
            && snapshot.index == index
        {
            return Some(snapshot.term);
        }
        if index == self.base.0 && self.base.1 != Term::default() {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns up to `limit` entries, starting at position `from`.
    pub fn range(&self, from: Index, limit: usize) -> Vec<Arc<Entry<C>>> {
        self.iter(from).take(limit).cloned().collect()
    }

    /// Returns the entries from position `from` on.
    pub fn iter(&self, from: Index) -> impl DoubleEndedIterator<Item = &Arc<Entry<C>>> {
        let skip = from.get().saturating_sub(self.base.0.get() + 1) as usize;
        self.list.range(skip.min(self.list.len())..)
    }

    /// Returns the first position in the run of consecutive entries that share the term at `index`.
    pub fn term_start(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut start = index;
        while start > self.first_index() && self.term(start.previous()) == term {
            start = start.previous();
        }
        start
    }

    /// Appends the entry that follows the last one.
    pub fn append(&mut self, entry: Arc<Entry<C>>, write: &mut Write<C>) {
        debug_assert!(entry.index == self.last_index().next(), "entries leave no gap");
        write.entries.push(entry.clone());
        self.list.push_back(entry);
    }

    /// Drops all entries at or after `from`.
    pub fn truncate(&mut self, from: Index, write: &mut Write<C>) {
        while self.list.back().is_some_and(|entry| entry.index >= from) {
            self.list.pop_back();
        }
        let last = from.previous();
        self.durable = self.durable.min(last);
        for (_, index) in &mut self.writes {
            *index = (*index).min(last);
        }
        write.entries.retain(|entry| entry.index < from);
        write.truncate = Some(write.truncate.map_or(from, |earlier| earlier.min(from)));
    }

    /// Records a snapshot of this node's state, and drops all entries up to `until`.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, until: Index, write: &mut Write<C>) {
        while self.list.front().is_some_and(|entry| entry.index <= until) {
            if let Some(entry) = self.list.pop_front() {
                self.base = (entry.index, entry.term);
            }
        }
        write.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Drops the newest snapshot, which the caller replaces at once.
    pub fn drop_snapshot(&mut self) {
        self.snapshot = None;
    }

    /// Replaces all entries by a snapshot received from the leader.
    pub fn install(&mut self, snapshot: Arc<Snapshot>, write: &mut Write<C>) {
        self.list.clear();
        self.base = (snapshot.index, snapshot.term);
        self.durable = Index::ZERO;
        self.writes.clear();
        write.entries.clear();
        write.truncate = None;
        write.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Records that write `number` includes all entries so far.
    pub fn record_write(&mut self, number: u64) {
        self.writes.push_back((number, self.last_index()));
    }

    /// Records that all writes up to number `through` are synced.
    pub fn persisted(&mut self, through: u64) {
        while let Some((number, last)) = self.writes.front().copied() {
            if number > through {
                return;
            }
            self.durable = self.durable.max(last);
            self.writes.pop_front();
        }
    }

    /// Returns the memberships in the snapshot and the entries, oldest first.
    pub fn memberships(&self) -> Vec<(Index, Membership)> {
        let first = self.snapshot.iter().map(|s| (s.index, s.membership.clone()));
        let from = self.snapshot.as_ref().map_or(Index::ZERO, |s| s.index);
        let later = self.list.iter().filter_map(|entry| match &entry.payload {
            Payload::Members(members) if entry.index > from => Some((entry.index, members.clone())),
            _ => None,
        });
        first.chain(later).collect()
    }
}
