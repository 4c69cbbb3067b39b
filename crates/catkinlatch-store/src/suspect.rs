//! The leader's list of requests that may crash targets, which all hosts share.

use catkinlatch_base::{BootId, Instant};
use catkinlatch_state::suspect::{Change, Disconnect, Reply, Suspects, Watch};
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

    /// Applies a change that a host sent; the times in it are replaced, since clocks differ.
    pub fn apply(&mut self, change: Change, now: Instant, wall_ms: u64) -> (Reply, Urgency) {
        let change = with_times(change, wall_ms);
        let refused = |suspects: &Suspects| suspects.refused().count();
        let refused_before = refused(&self.suspects);
        if let Change::Crashed { boot, .. } = &change {
            self.watch.add(Disconnect { start: boot.clone(), since: now });
        }
        let reply = self.suspects.apply(&change);
        let urgency = match &change {
            _ if refused(&self.suspects) != refused_before => Urgency::Now,
            Change::StartTrial { .. } | Change::EndTrial { .. } => Urgency::None,
            Change::Crashed { .. }
            | Change::Survived { .. }
            | Change::Clear { .. }
            | Change::Expire { .. } => Urgency::Later,
        };
        (reply, urgency)
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
            urgency = self.apply(Change::Expire { now_ms: wall_ms }, now, wall_ms).1;
        }
        if self.watch.is_empty() {
            return (Vec::new(), urgency);
        }
        let starts = starts();
        let survivors = self.watch.take_survivors(now, |boot| starts.get(boot).copied());
        let survivors: Vec<BootId> = survivors.into_iter().map(|survivor| survivor.start).collect();
        for boot in &survivors {
            let change = Change::Survived { boot: boot.clone() };
            urgency = urgency.max(self.apply(change, now, wall_ms).1);
        }
        self.survivors.extend(survivors.iter().cloned());
        (survivors, urgency)
    }

    /// Returns the starts whose crash was retracted since the last call.
    pub fn take_survivors(&mut self) -> Vec<BootId> {
        mem::take(&mut self.survivors)
    }
}

fn with_times(change: Change, wall_ms: u64) -> Change {
    match change {
        Change::Crashed { fingerprints, boot, at_ms: _ } => {
            Change::Crashed { fingerprints, boot, at_ms: wall_ms }
        }
        Change::StartTrial { fingerprint, mut trial, now_ms } => {
            trial.until_ms = wall_ms + trial.until_ms.saturating_sub(now_ms);
            Change::StartTrial { fingerprint, trial, now_ms: wall_ms }
        }
        Change::Survived { .. }
        | Change::EndTrial { .. }
        | Change::Clear { .. }
        | Change::Expire { .. } => change,
    }
}
