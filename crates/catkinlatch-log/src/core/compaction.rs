//! Log compaction: snapshots of the state machine that replace old entries.

use super::{Core, State};
use crate::{Entry, Index, Machine, Membership, Payload, Snapshot};
use std::sync::Arc;

/// A log that is longer than this multiple of the state is replaced by a snapshot.
const STATES_PER_SNAPSHOT: usize = 2;

/// Returns about how many bytes an entry takes.
pub(super) fn entry_bytes<M: Machine>(entry: &Entry<M::Command>) -> usize {
    match &entry.payload {
        Payload::Command(command) => M::command_bytes(command),
        Payload::Empty | Payload::Members(_) => 0,
    }
}

impl<M: Machine> Core<M> {
    /// Takes a snapshot if one is due.
    pub(super) fn compact(&mut self) {
        if matches!(self.state, State::Failed) || !self.is_snapshot_due() {
            return;
        }
        (self.applied_bytes, self.snapshot_check_bytes) = (0, self.settings.snapshot_bytes);
        let term = self.entries.term(self.applied).expect("applied entries are in memory");
        // The earlier snapshot is of no use any more, and takes as much memory as the new one.
        self.entries.drop_snapshot();
        let data = bincode::serde::encode_to_vec(&self.machine, bincode::config::standard())
            .expect("a state machine serializes");
        let membership = self.membership_at(self.applied);
        let snapshot = Snapshot { index: self.applied, term, membership, data: data.into() };
        let until = self.last_dropped();
        self.entries.compact(Arc::new(snapshot), until, &mut self.outbox.write);
        let applied = self.applied;
        let newest = self.memberships.iter().rposition(|(index, _)| *index <= applied);
        self.memberships.drain(..newest.unwrap_or(0));
    }

    /// Returns whether [`crate::Settings::snapshot_every`] entries were applied since the last
    /// snapshot, or so many bytes that the log is mostly of use to nobody.
    ///
    /// A snapshot takes as much memory and writing as the state, so a log that is no larger is kept.
    fn is_snapshot_due(&mut self) -> bool {
        let last = self.entries.snapshot().map_or(0, |snapshot| snapshot.index.get());
        if self.applied.get() - last >= self.settings.snapshot_every {
            return true;
        }
        if self.applied_bytes < self.snapshot_check_bytes {
            return false;
        }
        self.snapshot_check_bytes = self.applied_bytes.saturating_add(self.settings.snapshot_bytes);
        self.applied_bytes >= self.machine.bytes().saturating_mul(STATES_PER_SNAPSHOT)
    }

    /// Returns the position of the last entry that a snapshot of the applied ones replaces.
    fn last_dropped(&self) -> Index {
        let oldest = self.applied.get().saturating_sub(self.settings.snapshot_keep);
        let mut bytes = 0;
        let entries = self.entries.iter(Index::new(oldest).next()).rev();
        let applied = entries.skip_while(|entry| entry.index > self.applied);
        let kept = applied.take_while(|entry| {
            bytes += entry_bytes::<M>(entry);
            bytes <= self.settings.snapshot_keep_bytes
        });
        kept.last().map_or(self.applied, |entry| entry.index.previous())
    }

    /// Adds the hard state and all remaining entries to a write that contains a snapshot, because
    /// such a write replaces the whole log.
    pub(super) fn complete_snapshot_write(&mut self) {
        if self.outbox.write.snapshot.is_some() {
            self.outbox.write.hard_state = Some(self.hard_state);
            self.outbox.write.truncate = None;
            self.outbox.write.entries = self.entries.range(Index::ZERO, usize::MAX);
        }
    }

    pub(super) fn membership_at(&self, index: Index) -> Membership {
        let found = self.memberships.iter().rev().find(|(from, _)| *from <= index);
        found.map(|(_, membership)| membership.clone()).unwrap_or_default()
    }
}
