//! The estimates of all targets that one sender knows.

use super::{Estimate, Load, MAX_OBSERVATIONS, Observation};
use crate::Target;
use catkinlatch_base::{Instant, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// How a request ended at a target, as far as its sender can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The target answered.
    Answered,
    /// The target refused the request because it was full.
    Refused,
    /// The target failed, or its connection did.
    Failed,
    /// The target did not answer in time.
    Silent,
}

/// The latest known start of a target.
#[derive(Clone, Debug)]
struct Entry {
    estimate: Estimate,
    /// What this sender has observed itself since its last report.
    news: Observation,
    has_news: bool,
}

/// The estimates of all targets that one sender knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<TargetId, Entry>,
}

impl Table {
    /// Records a load that a target stated in an answer to this sender, which has `own` requests in
    /// flight there.
    pub fn record_load(
        &mut self,
        (id, born_ms): (&TargetId, u64),
        load: Load,
        own: u32,
        now: Instant,
    ) {
        let Some(entry) = self.entry(id, born_ms) else { return };
        entry.estimate.record_load(load, own, now, now);
        entry.has_news = true;
    }

    /// Records how a request of this sender ended at a target.
    pub fn record(&mut self, (id, born_ms): (&TargetId, u64), event: Event, now: Instant) {
        let Some(Entry { estimate, news, has_news }) = self.entry(id, born_ms) else { return };
        let (count, answers, failures) = match event {
            Event::Answered => (&mut news.answers, 1, 0),
            Event::Refused => (&mut news.refusals, 0, 0),
            Event::Failed => (&mut news.failures, 0, 1),
            Event::Silent => (&mut news.silences, 0, 1),
        };
        *count = count.saturating_add(1);
        *has_news = true;
        estimate.record_counts(answers, failures, now);
    }

    /// Adds what another sender reported; `own` is the number of this sender's own requests in
    /// flight at the target.
    pub fn merge(&mut self, observation: &Observation, own: u32, now: Instant) {
        let Some(entry) = self.entry(&observation.target, observation.born_ms) else { return };
        entry.record_remote_load(observation, own, now);
        let failures = observation.failures.saturating_add(observation.silences);
        entry.estimate.record_counts(observation.answers, failures, now);
    }

    /// Takes over what the leader's digest says of a target.
    pub fn adopt(&mut self, observation: &Observation, own: u32, now: Instant) {
        let Some(entry) = self.entry(&observation.target, observation.born_ms) else { return };
        entry.record_remote_load(observation, own, now);
        entry.estimate.adopt_counts(observation.answers, observation.failures, now);
        entry.estimate.adopt_leader_running(observation.leader_running, now);
    }

    /// Returns what this sender observed itself since the last call, of those targets that changed
    /// most.
    pub fn take_news(&mut self, now: Instant) -> Vec<Observation> {
        let mut news: Vec<(f64, Observation)> = Vec::new();
        for (id, entry) in self.entries.iter_mut().filter(|(_, entry)| entry.has_news) {
            let next = blank(id, entry.news.born_ms);
            let mut observation = std::mem::replace(&mut entry.news, next);
            entry.estimate.write_load(&mut observation, now);
            entry.has_news = false;
            news.push((entry.estimate.changed(now), observation));
        }
        most_changed(news)
    }

    /// Returns what is known of the targets that `is_included`, those that changed most first;
    /// `failures_count` tells for which the failures are included.
    pub fn digest(
        &self,
        is_included: impl Fn(&TargetId) -> bool,
        failures_count: impl Fn(&TargetId) -> bool,
        now: Instant,
    ) -> Vec<Observation> {
        let included = self.entries.iter().filter(|(id, _)| is_included(id));
        let all = included.map(|(id, entry)| {
            let mut observation = blank(id, entry.news.born_ms);
            entry.estimate.write_load(&mut observation, now);
            entry.estimate.write_counts(&mut observation, now);
            if !failures_count(id) {
                observation.failures = 0;
            }
            (entry.estimate.changed(now), observation)
        });
        most_changed(all.collect())
    }

    /// Returns the estimate of this start of a target, if there is one.
    pub fn estimate(&self, target: &Target) -> Option<&Estimate> {
        let entry = self.entries.get(&target.id)?;
        (entry.news.born_ms == target.born_ms).then_some(&entry.estimate)
    }

    /// Drops the targets that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.entries.retain(|id, _| is_known(id));
    }

    /// Returns the entry of a start, or `None` if a later one is known.
    fn entry(&mut self, id: &TargetId, born_ms: u64) -> Option<&mut Entry> {
        let new = || {
            let news = blank(id, born_ms);
            Entry { estimate: Estimate::default(), news, has_news: false }
        };
        let entry = self.entries.entry(id.clone()).or_insert_with(new);
        if entry.news.born_ms < born_ms {
            *entry = new();
        }
        (entry.news.born_ms == born_ms).then_some(entry)
    }
}

impl Entry {
    fn record_remote_load(&mut self, observation: &Observation, own: u32, now: Instant) {
        if observation.age_ms == u32::MAX {
            return;
        }
        let age = Duration::from_millis(observation.age_ms.into());
        let at = Instant::ZERO + now.saturating_duration_since(Instant::ZERO + age);
        let Observation { running, waiting, pace, .. } = *observation;
        self.estimate.record_load(Load { running, waiting, pace }, own, at, now);
    }
}

/// Returns the first [`MAX_OBSERVATIONS`], those that changed most first.
fn most_changed(mut all: Vec<(f64, Observation)>) -> Vec<Observation> {
    all.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    all.truncate(MAX_OBSERVATIONS);
    all.into_iter().map(|(_, observation)| observation).collect()
}

fn blank(id: &TargetId, born_ms: u64) -> Observation {
    Observation {
        target: id.clone(),
        born_ms,
        age_ms: u32::MAX,
        running: 0,
        waiting: 0,
        pace: None,
        cold_ms: 0,
        answers: 0,
        refusals: 0,
        failures: 0,
        silences: 0,
        leader_running: 0,
    }
}
