//! Log compaction: snapshots of the state machine that replace old entries.

use super::{Core, State};
use crate::{Index, Machine, Membership, Snapshot};
use std::sync::Arc;

impl<M: Machine> Core<M> {
    /// Takes a snapshot once [`crate::Settings::snapshot_every`] entries were applied since the
    /// last.
    pub(super) fn compact(&mut self) {
        let last = self.entries.snapshot().map_or(0, |snapshot| snapshot.index.get());
        let due = self.applied.get() - last >= self.settings.snapshot_every;
        if !due || matches!(self.state, State::Failed) {
            return;
        }
        let term = self.entries.term(self.applied).expect("applied entries are in memory");
        let data = bincode::serde::encode_to_vec(&self.machine, bincode::config::standard())
            .expect("a state machine serializes");
        let membership = self.membership_at(self.applied);
        let snapshot = Snapshot { index: self.applied, term, membership, data: data.into() };
        let keep = self.settings.snapshot_keep;
        self.entries.compact(Arc::new(snapshot), keep, &mut self.outbox.write);
        let applied = self.applied;
        let newest = self.memberships.iter().rposition(|(index, _)| *index <= applied);
        self.memberships.drain(..newest.unwrap_or(0));
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
