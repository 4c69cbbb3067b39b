//! Which target serves a request, from what its sender knows.
//!
//! The choice answers a steady load of short requests from several senders: each counts its own
//! requests at once, and what targets report of all others for as long as that is fresh.

use crate::Target;
use catkinlatch_base::{Instant, TargetId, ZoneId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long a target rests after its first failure.
const FIRST_REST: Duration = Duration::from_millis(300);

/// How long a target rests at most.
const LONGEST_REST: Duration = Duration::from_secs(5);

/// How long a target that refused for lack of room rests.
const FULL_REST: Duration = Duration::from_millis(60);

/// How long a reported load counts.
const REPORT_FRESH: Duration = Duration::from_millis(500);

/// How long a measured time counts; a target that seemed slow is tried again after that.
const PACE_FRESH: Duration = Duration::from_secs(4);

/// How much a new measurement weighs in the mean of a target's time.
const TIME_WEIGHT: f64 = 0.2;

/// How a request ended, as far as it tells something of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was answered, within this time.
    Answered(Duration),
    /// The target had no room.
    Full,
    /// The target did not answer, or not as it should.
    Failed,
    /// Nothing can be said.
    Unknown,
}

/// What a sender knows of a target.
#[derive(Clone, Debug, Default)]
struct Standing {
    running: u32,
    /// How many requests it got in all.
    begun: u64,
    reported: u32,
    reported_at: Option<Instant>,
    failures: u32,
    rests_until: Instant,
    mean_ms: Option<f64>,
    paced_at: Option<Instant>,
}

/// What a sender knows of its targets.
#[derive(Clone, Debug, Default)]
pub struct Choice {
    standings: BTreeMap<TargetId, Standing>,
}

impl Choice {
    /// Returns the target that should serve a request: the one with the least load that does not
    /// rest; if equal, a near one, and the one that has had fewest; the one that rests least if all do.
    pub fn pick<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        zone: &ZoneId,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Option<&'a Target> {
        let open = targets.filter(|target| target.is_ready() && !tried.contains(&target.id));
        open.min_by_key(|target| {
            let standing = self.standings.get(&target.id).cloned().unwrap_or_default();
            let rest = standing.rests_until.saturating_duration_since(now);
            let others = standing.reported_by_others(now);
            let share = f64::from(standing.running + others) / f64::from(target.slots);
            let slowness = standing.mean_ms.unwrap_or_default();
            let load = (share * 16.0) as u64;
            (rest, load, (slowness / 40.0) as u64, target.zone != *zone, standing.begun)
        })
    }

    /// Returns how many of this sender's requests a target has.
    pub fn running(&self, id: &TargetId) -> u32 {
        self.standings.get(id).map_or(0, |standing| standing.running)
    }

    /// Returns whether a target rests.
    pub fn rests(&self, id: &TargetId, now: Instant) -> bool {
        self.standings.get(id).is_some_and(|standing| now < standing.rests_until)
    }

    /// Returns the time that a target takes, as a multiple of what the middle one of these takes.
    pub fn slowness(&self, id: &TargetId, fellows: &[TargetId], now: Instant) -> f64 {
        let fresh = |standing: &Standing| {
            standing.paced_at.filter(|at| now < *at + PACE_FRESH).and(standing.mean_ms)
        };
        let mean = |id: &TargetId| self.standings.get(id).and_then(fresh);
        let mut means: Vec<f64> = fellows.iter().filter_map(mean).collect();
        means.sort_by(f64::total_cmp);
        match (mean(id), means.get(means.len() / 2)) {
            (Some(own), Some(middle)) if *middle > 0.0 => own / middle,
            _ => 1.0,
        }
    }

    /// Notes that a request goes to a target.
    pub fn begin(&mut self, id: &TargetId) {
        let standing = self.standings.entry(id.clone()).or_default();
        standing.running += 1;
        standing.begun += 1;
    }

    /// Notes how a request ended.
    pub fn end(&mut self, id: &TargetId, verdict: Verdict, now: Instant) {
        let standing = self.standings.entry(id.clone()).or_default();
        standing.running = standing.running.saturating_sub(1);
        match verdict {
            Verdict::Answered(time) => {
                standing.learn(time, now);
                standing.failures = 0;
                standing.rests_until = Instant::ZERO;
            }
            Verdict::Full => standing.rests_until = standing.rests_until.max(now + FULL_REST),
            Verdict::Failed => {
                let rest = FIRST_REST * 2_u32.saturating_pow(standing.failures.min(8));
                standing.failures += 1;
                standing.rests_until = now + rest.min(LONGEST_REST);
            }
            Verdict::Unknown => {}
        }
    }

    /// Takes the time that a part of a running request took.
    pub fn pace(&mut self, id: &TargetId, time: Duration, now: Instant) {
        self.standings.entry(id.clone()).or_default().learn(time, now);
    }

    /// Takes what a target reports: what it runs and what waits there, the sender's own included.
    pub fn report(&mut self, id: &TargetId, running: u32, waiting: u32, now: Instant) {
        let standing = self.standings.entry(id.clone()).or_default();
        standing.reported = (running + waiting).saturating_sub(standing.running);
        standing.reported_at = Some(now);
    }

    /// Forgets all targets but these.
    pub fn retain(&mut self, known: &BTreeSet<TargetId>) {
        self.standings.retain(|id, standing| standing.running > 0 || known.contains(id));
    }
}

impl Standing {
    fn learn(&mut self, time: Duration, now: Instant) {
        self.paced_at = Some(now);
        let time_ms = time.as_secs_f64() * 1_000.0;
        let mean = self.mean_ms.unwrap_or(time_ms);
        self.mean_ms = Some(mean + (time_ms - mean) * TIME_WEIGHT);
    }

    fn reported_by_others(&self, now: Instant) -> u32 {
        let is_fresh = self.reported_at.is_some_and(|at| now < at + REPORT_FRESH);
        if is_fresh { self.reported } else { 0 }
    }
}
