//! Collects the actions of one step, and holds back frames that depend on unsynced writes.

use crate::{Action, Frame, Write};
use catkinlatch_base::HostId;
use std::{collections::VecDeque, mem};

/// Pending actions, the next write, and frames that wait for a sync.
#[derive(Clone, Debug)]
pub struct Outbox<C, R> {
    /// The next write.
    pub write: Write<C>,
    persisted: u64,
    actions: Vec<Action<C, R>>,
    deferred: VecDeque<Deferred<C>>,
}

/// A frame to send once write `after` is synced.
#[derive(Clone, Debug)]
struct Deferred<C> {
    after: u64,
    to: HostId,
    frame: Frame<C>,
}

impl<C, R> Outbox<C, R> {
    /// Creates an empty outbox.
    pub fn new() -> Self {
        Self { write: Write::new(1), persisted: 0, actions: Vec::new(), deferred: VecDeque::new() }
    }

    /// Adds an action.
    pub fn push(&mut self, action: Action<C, R>) {
        self.actions.push(action);
    }

    /// Sends a frame that does not depend on any unsynced write.
    pub fn send(&mut self, to: HostId, frame: Frame<C>) {
        self.actions.push(Action::Send { to, frame });
    }

    /// Sends a frame once all writes requested before it are synced.
    pub fn send_synced(&mut self, to: HostId, frame: Frame<C>) {
        let newest = if self.write.is_empty() { self.write.number - 1 } else { self.write.number };
        if newest <= self.persisted {
            return self.send(to, frame);
        }
        self.deferred.push_back(Deferred { after: newest, to, frame });
    }

    /// Adds a [`Action::Persist`] for the pending write, if it is not empty, and returns the
    /// write's number.
    pub fn flush(&mut self) -> Option<u64> {
        if self.write.is_empty() {
            return None;
        }
        let number = self.write.number;
        let write = mem::replace(&mut self.write, Write::new(number + 1));
        self.actions.push(Action::Persist(write));
        Some(number)
    }

    /// Sends the frames that were waiting for writes up to number `through`.
    pub fn persisted(&mut self, through: u64) {
        self.persisted = self.persisted.max(through);
        while self.deferred.front().is_some_and(|deferred| deferred.after <= self.persisted) {
            if let Some(Deferred { to, frame, .. }) = self.deferred.pop_front() {
                self.send(to, frame);
            }
        }
    }

    /// Drops the pending write and all unsent frames after a storage failure.
    pub fn fail(&mut self) {
        self.deferred.clear();
        self.write = Write::new(self.write.number);
        self.actions.retain(|action| !matches!(action, Action::Send { .. }));
    }

    /// Takes the collected actions.
    pub fn take(&mut self) -> Vec<Action<C, R>> {
        mem::take(&mut self.actions)
    }
}
