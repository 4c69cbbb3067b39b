//! The entries in memory and how far they are synced.

use crate::{Entry, Index, Membership, Payload, Restored, Snapshot, Write};
use catkinlatch_base::Term;
use std::{collections::VecDeque, sync::Arc};

/// The entries that are in memory, after those that a snapshot stands for.
#[derive(Clone, Debug)]
pub struct Entries<C> {
    /// The position before the first entry, and its term.
    base: (Index, Term),
    list: VecDeque<Arc<Entry<C>>>,
    snapshot: Option<Arc<Snapshot>>,
    /// The last position of each write that is not yet synced.
    writes: VecDeque<(u64, Index)>,
    durable: Index,
}

impl<C> Entries<C> {
    /// Takes over what a restart found.
    pub fn new(restored: Restored<C>) -> Self {
        let Restored { snapshot, entries, .. } = restored;
        let mut list: VecDeque<Arc<Entry<C>>> = entries.into();
        if let Some(snapshot) = &snapshot
            && !matches_snapshot(&list, snapshot)
        {
            list.clear();
        }
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

    /// Returns the last position.
    pub fn last_index(&self) -> Index {
        self.list.back().map_or(self.base.0, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.list.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Returns the first position that is in memory.
    pub fn first_index(&self) -> Index {
        self.base.0.next()
    }

    /// Returns the last position that is synced.
    pub fn durable(&self) -> Index {
        self.durable
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the entry at a position.
    pub fn get(&self, index: Index) -> Option<&Arc<Entry<C>>> {
        let offset = index.get().checked_sub(self.base.0.get() + 1)?;
        self.list.get(offset as usize)
    }

    /// Returns the term of the entry at a position, if it is known.
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

    /// Returns up to `limit` entries from a position on.
    pub fn range(&self, from: Index, limit: usize) -> Vec<Arc<Entry<C>>> {
        let skip = from.get().saturating_sub(self.base.0.get() + 1) as usize;
        self.list.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Returns the first position of the run of entries that share the term at `index`.
    pub fn term_start(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut start = index;
        while start > self.first_index() && self.term(start.previous()) == term {
            start = start.previous();
        }
        start
    }

    /// Appends an entry that follows the last one.
    pub fn append(&mut self, entry: Arc<Entry<C>>, write: &mut Write<C>) {
        debug_assert!(entry.index == self.last_index().next(), "entries leave no gap");
        write.entries.push(entry.clone());
        self.list.push_back(entry);
    }

    /// Drops the entries from a position on.
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

    /// Takes a snapshot of this node's own state, and drops entries that it stands for.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, keep: u64, write: &mut Write<C>) {
        let until = Index::new(snapshot.index.get().saturating_sub(keep));
        while self.list.front().is_some_and(|entry| entry.index <= until) {
            if let Some(entry) = self.list.pop_front() {
                self.base = (entry.index, entry.term);
            }
        }
        write.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Takes a leader's snapshot in place of all entries.
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

    /// Notes that a write now holds all entries so far.
    pub fn record_write(&mut self, number: u64) {
        self.writes.push_back((number, self.last_index()));
    }

    /// Notes that all writes up to a number are synced.
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

/// Returns whether the entries lead on from the snapshot, so that they may stay beside it.
///
/// A crash between the write of a leader's snapshot and the drop of the entries that it replaced
/// leaves both.
fn matches_snapshot<C>(list: &VecDeque<Arc<Entry<C>>>, snapshot: &Snapshot) -> bool {
    if list.front().is_some_and(|first| first.index == snapshot.index.next()) {
        return true;
    }
    let mut entries = list.iter();
    entries.any(|entry| entry.index == snapshot.index && entry.term == snapshot.term)
}
