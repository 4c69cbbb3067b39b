//! The leader's list of requests that may crash targets, which all hosts share.

mod shared;

pub use self::shared::Shared;

use catkinlatch_base::{BootId, Instant};
use catkinlatch_ledger::suspect::Change;
use catkinlatch_state::suspect::{self, Disconnect, Reply, Suspects, Watch};
use std::{collections::BTreeMap, mem};

/// How soon the other hosts must learn of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing changed that other hosts use.
    None,
    /// A later publication suffices: it only helps a new leader, or hosts to run suspects alone.
    Later,
    /// At once: a request is refused from now on, or no longer.
    Now,
}

/// The requests that may crash targets. It is not replicated by the log: all hosts hold a copy, and
/// report again what a new leader lacks.
#[derive(Clone, Debug, Default)]
pub struct Table {
    suspects: Suspects,
    watch: Watch<BootId>,
    /// The starts whose crash was retracted since they were last taken.
    survivors: Vec<BootId>,
}

impl Table {
    /// Returns the suspects.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Watches all starts that are held to have crashed, since a new leader has watched none.
    pub fn watch_all(&mut self, now: Instant) {
        let boots = self.suspects.list().values().flat_map(|suspect| &suspect.crashes);
        for boot in boots.cloned().collect::<Vec<_>>() {
            self.watch.add(Disconnect { start: boot, since: now });
        }
    }

    /// Replaces the suspects by those of the current leader.
    pub fn adopt(&mut self, suspects: Suspects) {
        self.suspects = suspects;
    }

    /// Applies a change that a host reports or asks for.
    pub fn apply(&mut self, change: &Change, now: Instant, wall_ms: u64) -> (Reply, Urgency) {
        if let Change::Crashed { boot, .. } = change {
            self.watch.add(Disconnect { start: boot.clone(), since: now });
        }
        if let Change::Survived { boot } = change {
            self.survivors.push(boot.clone());
        }
        let urgency = match change {
            Change::Crashed { .. } | Change::Survived { .. } | Change::Clear { .. } => {
                Urgency::Later
            }
            Change::StartTrial { .. } | Change::EndTrial { .. } => Urgency::None,
        };
        self.change(urgency, |suspects| change.apply(suspects, wall_ms))
    }

    /// Changes the suspects; the result is urgent if another set of requests is refused after it.
    fn change(
        &mut self,
        urgency: Urgency,
        change: impl FnOnce(&mut Suspects) -> Reply,
    ) -> (Reply, Urgency) {
        let refused_before = self.suspects.refused().count();
        let reply = change(&mut self.suspects);
        let is_urgent = self.suspects.refused().count() != refused_before;
        (reply, if is_urgent { Urgency::Now } else { urgency })
    }

    /// Retracts the crashes of starts that are still announced, and drops suspects whose last
    /// crash is long ago.
    ///
    /// `starts` returns when each registered start was last heard; it is called only if needed.
    pub fn update(
        &mut self,
        now: Instant,
        wall_ms: u64,
        starts: impl FnOnce() -> BTreeMap<BootId, Instant>,
    ) -> (Vec<BootId>, Urgency) {
        let mut urgency = Urgency::None;
        if self.suspects.has_due(wall_ms) {
            let expire = suspect::Change::Expire { now_ms: wall_ms };
            urgency = self.change(Urgency::Later, |suspects| suspects.apply(&expire)).1;
        }
        if self.watch.is_empty() {
            return (Vec::new(), urgency);
        }
        let starts = starts();
        let survivors = self.watch.take_survivors(now, |boot| starts.get(boot).copied());
        let survivors: Vec<BootId> = survivors.into_iter().map(|survivor| survivor.start).collect();
        for boot in &survivors {
            let survived = suspect::Change::Survived { boot: boot.clone() };
            let changed = self.change(Urgency::Later, |suspects| suspects.apply(&survived));
            urgency = urgency.max(changed.1);
        }
        self.survivors.extend(survivors.iter().cloned());
        (survivors, urgency)
    }

    /// Returns the starts whose crash was retracted since the last call.
    pub fn take_survivors(&mut self) -> Vec<BootId> {
        mem::take(&mut self.survivors)
    }
}
