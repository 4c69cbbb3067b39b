//! The estimate of one start of a target.

use super::{
    Observation,
    decay::{Count, weight},
};
use catkinlatch_base::Instant;
use std::time::Duration;

/// Half-life of a load and a pace.
pub const LOAD_HALF_LIFE: Duration = Duration::from_millis(300);

/// Half-life of numbers of answers and failures.
pub const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_000);

/// How much longer a request is expected to take per share of failed requests: a target that fails
/// all of them counts as three times as slow, since each failure costs an attempt and a retry.
const FAILURE_COST: f64 = 2.0;

/// The answers that a target without any counts as having given, so that one failure alone does not
/// count as a share of 1.
const PRIOR_ANSWERS: f64 = 1.0;

/// The range of a pace that is believed, in percent.
const PACE_RANGE: (u32, u32) = (25, 1_000);

/// The largest load that is believed, in requests.
const MAX_LOAD: u32 = 10_000;

/// The load and the pace that a target stated at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that the target runs.
    pub running: u32,
    /// Number of requests that wait at the target.
    pub waiting: u32,
    /// The pace of its machine in percent, if the target states it.
    pub pace: Option<u32>,
}

/// A load, and when the target stated it.
#[derive(Clone, Copy, Debug)]
struct Sample {
    load: Load,
    /// The part of the load that is not this sender's own.
    others: f64,
    at: Instant,
}

/// What is known of one start of a target.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    sample: Option<Sample>,
    answers: Count,
    failures: Count,
    /// The counts of all senders together, as the leader told.
    shared_answers: Count,
    shared_failures: Count,
    /// The requests that the leader itself ran when it told of the target.
    leader_running: Count,
    /// Whether the target has ever stated a pace.
    pub has_pace: bool,
    /// How much the estimate changed lately.
    changed: Count,
}

impl Estimate {
    /// Records a load that the target stated at `at`, unless a newer one is known; `own` is the
    /// number of this sender's own requests in flight there.
    pub fn record_load(&mut self, load: Load, own: u32, at: Instant, now: Instant) {
        if self.sample.is_some_and(|sample| at < sample.at) {
            return;
        }
        let pace = load.pace.map(|pace| pace.clamp(PACE_RANGE.0, PACE_RANGE.1));
        let (running, waiting) = (load.running.min(MAX_LOAD), load.waiting.min(MAX_LOAD));
        let load = Load { running, waiting, pace };
        let before = self.sample.map_or((0.0, 1.0), |sample| (sample.total(), sample.pace()));
        let sample =
            Sample { load, others: f64::from((running + waiting).saturating_sub(own)), at };
        let change = (sample.total() - before.0).abs() + (sample.pace() - before.1).abs() * 4.0;
        self.changed.add(change, LOAD_HALF_LIFE, now);
        self.has_pace |= pace.is_some();
        self.sample = Some(sample);
    }

    /// Records answers and failures that this sender saw or was told of.
    pub fn record_counts(&mut self, answers: u32, failures: u32, now: Instant) {
        self.answers.add(answers.into(), FAILURE_HALF_LIFE, now);
        self.failures.add(failures.into(), FAILURE_HALF_LIFE, now);
        self.changed.add(f64::from(failures) * 4.0, LOAD_HALF_LIFE, now);
    }

    /// Replaces the counts of all senders together by those of the leader's digest.
    pub fn adopt_counts(&mut self, answers: u32, failures: u32, now: Instant) {
        self.shared_answers = Count::new(answers.into(), now);
        self.shared_failures = Count::new(failures.into(), now);
    }

    /// Records the number of requests that the leader itself runs at the target.
    pub fn adopt_leader_running(&mut self, running: u32, now: Instant) {
        self.leader_running = Count::new(running.min(MAX_LOAD).into(), now);
    }

    /// Returns how much the estimate changed lately, without a unit.
    pub fn changed(&self, now: Instant) -> f64 {
        self.changed.get(LOAD_HALF_LIFE, now)
    }

    /// Returns the weight of the load, from 0 (not known) to 1 (stated just now).
    pub fn load_weight(&self, now: Instant) -> f64 {
        let age = |sample: Sample| now.saturating_duration_since(sample.at);
        self.sample.map_or(0.0, |sample| weight(age(sample), LOAD_HALF_LIFE))
    }

    /// Returns the number of requests of other senders as last stated; 0 if it is not known.
    pub fn others(&self) -> f64 {
        self.sample.map_or(0.0, |sample| sample.others)
    }

    /// Returns the expected number of requests of other senders, where `usual` is what is assumed
    /// if it is not known; at least those of the leader, which is the busiest sender.
    pub fn expected_others(&self, usual: f64, now: Instant) -> f64 {
        let weight = self.load_weight(now);
        let stated = weight * self.others() + (1.0 - weight) * usual;
        stated.max(self.leader_running.get(LOAD_HALF_LIFE, now))
    }

    /// Returns the pace as a multiple of the usual one, which it approaches with age.
    pub fn pace(&self, now: Instant) -> f64 {
        let pace = self.sample.map_or(1.0, |sample| sample.pace());
        1.0 + (pace - 1.0) * self.load_weight(now)
    }

    /// Returns the factor by which failures lengthen a request: 1 if there were none lately.
    pub fn failure_factor(&self, now: Instant) -> f64 {
        let get = |count: &Count| count.get(FAILURE_HALF_LIFE, now);
        let failures = get(&self.failures) + get(&self.shared_failures);
        let answers = get(&self.answers) + get(&self.shared_answers);
        1.0 + FAILURE_COST * failures / (failures + answers + PRIOR_ANSWERS)
    }

    /// Writes the load and its age to an observation.
    pub fn write_load(&self, observation: &mut Observation, now: Instant) {
        let Some(sample) = self.sample else { return };
        let age = now.saturating_duration_since(sample.at).as_millis();
        observation.age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        (observation.running, observation.waiting) = (sample.load.running, sample.load.waiting);
        observation.pace = sample.load.pace;
    }

    /// Writes the numbers of answers and failures of late to an observation.
    pub fn write_counts(&self, observation: &mut Observation, now: Instant) {
        observation.answers = self.answers.get(FAILURE_HALF_LIFE, now).round() as u32;
        observation.failures = self.failures.get(FAILURE_HALF_LIFE, now).round() as u32;
    }
}

impl Sample {
    fn total(&self) -> f64 {
        f64::from(self.load.running + self.load.waiting)
    }

    fn pace(&self) -> f64 {
        self.load.pace.map_or(1.0, |pace| f64::from(pace) / 100.0)
    }
}
