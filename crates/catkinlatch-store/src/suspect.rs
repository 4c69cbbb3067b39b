//! The leader's list of requests that may crash targets, which all hosts share.

mod shared;

pub use self::shared::Shared;

use catkinlatch_base::{BootId, Instant};
use catkinlatch_ledger::suspect::{Change, Paroles};
use catkinlatch_state::suspect::{self, Disconnect, Fingerprint, Reply, Suspects, Watch};
use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::Duration,
};

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

/// Largest number of unanswered requests that are watched; the oldest is dropped for a new one.
const MAX_SILENT: usize = 1_024;

/// How long a target that did not answer is watched: longer than a restart takes.
const SILENT_WATCH_TIME: Duration = Duration::from_secs(30);

/// How long after the silence a start that is not registered counts as ended: a new leader may
/// still lack its registration.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A request that a target did not answer in time.
#[derive(Clone, Debug)]
struct Silent {
    fingerprint: Fingerprint,
    boot: BootId,
    ran_alone: bool,
    since: Instant,
}

/// The requests that may crash targets. It is not replicated by the log: all hosts hold a copy, and
/// report again what a new leader lacks.
#[derive(Clone, Debug, Default)]
pub struct Table {
    suspects: Suspects,
    watch: Watch<BootId>,
    paroles: Paroles,
    /// Requests that were not answered in time, which count as crashes if the target has ended.
    silent: VecDeque<Silent>,
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
            self.watch.add(Disconnect::new(boot, now));
        }
    }

    /// Replaces the suspects by those of the current leader.
    pub fn adopt(&mut self, suspects: Suspects) {
        self.suspects = suspects;
    }

    /// Applies a change that a host reports or asks for.
    pub fn apply(&mut self, change: &Change, now: Instant, wall_ms: u64) -> (Reply, Urgency) {
        if let Change::Crashed { boot, .. } = change {
            self.watch.add(Disconnect::new(boot.clone(), now));
        }
        if let Change::Survived { boot } = change {
            self.survivors.push(boot.clone());
        }
        if let Change::Silent { fingerprint, boot, ran_alone } = change {
            if self.silent.len() == MAX_SILENT {
                self.silent.pop_front();
            }
            let (fingerprint, boot, ran_alone) = (*fingerprint, boot.clone(), *ran_alone);
            self.silent.push_back(Silent { fingerprint, boot, ran_alone, since: now });
        }
        if let Change::StartTrial { fingerprint, .. } = change
            && self.suspects.is_refused(fingerprint)
            && self.paroles.grant(&self.suspects, fingerprint, wall_ms)
        {
            self.suspects.parole(fingerprint);
        }
        let urgency = match change {
            Change::Crashed { .. } | Change::Survived { .. } | Change::Clear { .. } => {
                Urgency::Later
            }
            Change::Silent { .. } | Change::StartTrial { .. } | Change::EndTrial { .. } => {
                Urgency::None
            }
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

    /// Retracts the crashes of starts that are still announced, records those of targets that fell
    /// silent and have been replaced by another start, and drops suspects whose last crash is long
    /// ago.
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
        if self.watch.is_empty() && self.silent.is_empty() {
            return (Vec::new(), urgency);
        }
        let starts = starts();
        for Silent { fingerprint, boot, ran_alone, .. } in self.take_ended(now, &starts) {
            let crashed = Change::Crashed { fingerprint, boot, ran_alone };
            urgency = urgency.max(self.apply(&crashed, now, wall_ms).1);
        }
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

    /// Removes and returns the unanswered requests whose targets have ended, and drops those whose
    /// targets live on.
    fn take_ended(&mut self, now: Instant, starts: &BTreeMap<BootId, Instant>) -> VecDeque<Silent> {
        let has_ended = |silent: &Silent| {
            now >= silent.since + SETTLE_TIME && !starts.contains_key(&silent.boot)
        };
        let (ended, others): (VecDeque<_>, VecDeque<_>) =
            self.silent.drain(..).partition(has_ended);
        let is_open = |silent: &Silent| {
            let lives = starts.get(&silent.boot).is_some_and(|heard| *heard > silent.since);
            !lives && now.saturating_duration_since(silent.since) < SILENT_WATCH_TIME
        };
        self.silent = others.into_iter().filter(is_open).collect();
        ended
    }

    /// Returns the starts whose crash was retracted since the last call.
    pub fn take_survivors(&mut self) -> Vec<BootId> {
        mem::take(&mut self.survivors)
    }
}
