//! Client-side load balancing: selects the target that serves a request.
//!
//! Designed for a steady load of short requests from several senders. Each sender counts its own
//! requests in flight immediately, and adds the load that targets report for all other senders
//! while that report is fresh.

use crate::Target;
use catkinlatch_base::{Instant, TargetId, ZoneId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Backoff of a target after its first failure; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Upper bound of a target's backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Backoff of a target that refused a request because it was full.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);

/// How long a reported load is taken into account.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// How long a measured latency affects [`Balancer::slowness`]; a target that was measured as slow
/// is tried again after that.
const LATENCY_TTL: Duration = Duration::from_secs(4);

/// Weight of a new sample in the exponentially weighted moving average of a target's latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// What the end of a request shows about the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target answered. Carries the latency, which is the mean time per event for a batch item.
    Answered(Duration),
    /// The target refused the request because it was full.
    Full,
    /// The target did not answer, or its answer was invalid.
    Failed,
    /// The end of the request shows nothing about the target, for example because it was aborted.
    Unknown,
}

/// What a sender has measured about one target.
#[derive(Clone, Debug, Default)]
struct Stats {
    running: u32,
    /// The total number of requests that this sender has sent to the target.
    dispatched: u64,
    reported_load: u32,
    reported_at: Option<Instant>,
    failures: u32,
    backoff_until: Instant,
    mean_ms: Option<f64>,
    measured_at: Option<Instant>,
}

/// Selects targets from the load, failures and latencies that one sender has observed.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    stats: BTreeMap<TargetId, Stats>,
}

impl Balancer {
    /// Returns the target that should serve a request, or `None` if no target is ready and untried.
    ///
    /// Targets that are not backing off come first; if all are, the one with the shortest remaining
    /// backoff wins. Ties are broken by the load per slot in steps of 1/16, the mean latency in
    /// steps of 40 ms, whether the target is in `zone`, and then the number of requests sent to it
    /// so far.
    pub fn pick<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        zone: &ZoneId,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Option<&'a Target> {
        let candidates = targets.filter(|target| target.is_ready() && !tried.contains(&target.id));
        candidates.min_by_key(|target| {
            let stats = self.stats.get(&target.id).cloned().unwrap_or_default();
            let backoff = stats.backoff_until.saturating_duration_since(now);
            let others = stats.others_load(now);
            let share = f64::from(stats.running + others) / f64::from(target.slots);
            let slowness = stats.mean_ms.unwrap_or_default();
            let load = (share * 16.0) as u64;
            (backoff, load, (slowness / 40.0) as u64, target.zone != *zone, stats.dispatched)
        })
    }

    /// Returns the number of this sender's requests in flight at a target.
    pub fn running(&self, id: &TargetId) -> u32 {
        self.stats.get(id).map_or(0, |stats| stats.running)
    }

    /// Returns the requests that a target runs and queues: this sender's own, and those of others
    /// as the target reported them a moment ago.
    pub fn load(&self, id: &TargetId, now: Instant) -> u32 {
        self.stats.get(id).map_or(0, |stats| stats.running + stats.others_load(now))
    }

    /// Returns whether a target is backing off after a failure or refusal.
    pub fn is_backing_off(&self, id: &TargetId, now: Instant) -> bool {
        self.stats.get(id).is_some_and(|stats| now < stats.backoff_until)
    }

    /// Returns whether a target is not backing off and has a free slot, as far as is known.
    pub fn has_room(&self, target: &Target, now: Instant) -> bool {
        self.stats.get(&target.id).is_none_or(|stats| {
            now >= stats.backoff_until && stats.running + stats.others_load(now) < target.slots
        })
    }

    /// Returns the mean latency of each of `targets` as a multiple of their median.
    ///
    /// It is 1.0 for a target without a fresh measurement, and for all if there is none to compare.
    pub fn slowness(&self, targets: &[TargetId], now: Instant) -> Vec<f64> {
        let fresh = |stats: &Stats| {
            stats.measured_at.filter(|at| now < *at + LATENCY_TTL).and(stats.mean_ms)
        };
        let means: Vec<Option<f64>> =
            targets.iter().map(|id| self.stats.get(id).and_then(fresh)).collect();
        let mut sorted: Vec<f64> = means.iter().copied().flatten().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied().filter(|median| *median > 0.0);
        let slowness =
            |mean: &Option<f64>| mean.zip(median).map_or(1.0, |(mean, median)| mean / median);
        means.iter().map(slowness).collect()
    }

    /// Records that a request was sent to a target.
    pub fn begin(&mut self, id: &TargetId) {
        let stats = self.stats.entry(id.clone()).or_default();
        stats.running += 1;
        stats.dispatched += 1;
    }

    /// Records that a request ended, and starts or resets the target's backoff accordingly.
    pub fn end(&mut self, id: &TargetId, verdict: Verdict, now: Instant) {
        let stats = self.stats.entry(id.clone()).or_default();
        stats.running = stats.running.saturating_sub(1);
        match verdict {
            Verdict::Answered(latency) => {
                stats.record_latency(latency, now);
                stats.failures = 0;
                stats.backoff_until = Instant::ZERO;
            }
            Verdict::Full => stats.backoff_until = stats.backoff_until.max(now + OVERLOAD_BACKOFF),
            Verdict::Failed => {
                let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(stats.failures.min(8));
                stats.failures += 1;
                stats.backoff_until = now + backoff.min(MAX_BACKOFF);
            }
            Verdict::Unknown => {}
        }
    }

    /// Records the latency of a part of a request in flight, such as the time per streamed event.
    pub fn record_event_latency(&mut self, id: &TargetId, latency: Duration, now: Instant) {
        self.stats.entry(id.clone()).or_default().record_latency(latency, now);
    }

    /// Records the load that a target reports: its running and its queued requests, including those
    /// of this sender.
    pub fn report(&mut self, id: &TargetId, running: u32, waiting: u32, now: Instant) {
        let stats = self.stats.entry(id.clone()).or_default();
        stats.reported_load = (running + waiting).saturating_sub(stats.running);
        stats.reported_at = Some(now);
    }

    /// Drops the statistics of all targets that are not in `targets` and have no request in flight.
    pub fn retain(&mut self, targets: &BTreeSet<TargetId>) {
        self.stats.retain(|id, stats| stats.running > 0 || targets.contains(id));
    }
}

impl Stats {
    fn record_latency(&mut self, latency: Duration, now: Instant) {
        self.measured_at = Some(now);
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let mean = self.mean_ms.unwrap_or(latency_ms);
        self.mean_ms = Some(mean + (latency_ms - mean) * LATENCY_WEIGHT);
    }

    fn others_load(&self, now: Instant) -> u32 {
        let is_fresh = self.reported_at.is_some_and(|at| now < at + REPORT_TTL);
        if is_fresh { self.reported_load } else { 0 }
    }
}
