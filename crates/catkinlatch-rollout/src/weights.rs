//! Roll-out of weights to engines in waves.

mod allotment;
mod engine;
mod goal;
mod limit;
mod load;
mod pace;
mod wave;

pub use self::{
    allotment::Allotment,
    engine::Engine,
    goal::{Demand, Goal, Need, useful_intervals},
    limit::Limits,
    load::{Load, Outcome, Source},
    pace::{Want, loads_at_once},
};

use self::wave::Wave;
use catkinlatch_base::{Instant, TargetId, Version};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Backoff of an engine after its first failed load.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest backoff of an engine after a failed load.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A load in progress.
#[derive(Clone, Debug)]
struct Loading {
    version: Version,
    source: Source,
    deadline: Instant,
}

/// Consecutive failed loads of one engine.
#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    retry_at: Instant,
}

/// The roll-out of one model's weights.
///
/// Only an engine's own report shows which version it has; an order that was given or confirmed
/// proves nothing.
///
/// ```
/// use catkinlatch_base::{Instant, Version};
/// use catkinlatch_rollout::weights::{Engine, Limits, Rollout};
///
/// let engine = |name: &str| Engine {
///     id: name.parse().expect("the id is valid"),
///     zone: "zone-a".parse().expect("the id is valid"),
///     reported: Version::new(1),
/// };
/// let engines = [engine("engine-1"), engine("engine-2"), engine("engine-3")];
/// let mut rollout = Rollout::new(Limits::default());
/// let (wanted, floor) = (Version::new(2), Version::new(1));
/// let wave = rollout.next(Instant::ZERO, wanted, floor, &engines);
/// assert_eq!(wave.len(), 1, "two of three engines keep serving");
/// ```
#[derive(Clone, Debug)]
pub struct Rollout {
    limits: Limits,
    loading: BTreeMap<TargetId, Loading>,
    failures: BTreeMap<TargetId, Failure>,
}

impl Rollout {
    /// Creates a roll-out without loads in progress.
    pub fn new(limits: Limits) -> Self {
        Self { limits, loading: BTreeMap::new(), failures: BTreeMap::new() }
    }

    /// Returns the loads to order now, and records them as in progress.
    ///
    /// `wanted` is the version that the engines are to load; `floor` is the oldest version whose
    /// samples a trainer still accepts.
    pub fn next(
        &mut self,
        now: Instant,
        wanted: Version,
        floor: Version,
        engines: &[Engine],
    ) -> Vec<Load> {
        self.next_up_to(now, wanted, floor, engines, usize::MAX)
    }

    /// Like [`Self::next`], but returns at most `max_loads` loads, since other models may load too.
    pub fn next_up_to(
        &mut self,
        now: Instant,
        wanted: Version,
        floor: Version,
        engines: &[Engine],
        max_loads: usize,
    ) -> Vec<Load> {
        self.update_loads(now, engines);
        let mut wave = Wave::new(&self.limits, wanted, floor, engines, &self.loading);
        let candidates = engines.iter().filter(|engine| self.is_candidate(engine, wanted, now));
        candidates.for_each(|engine| wave.add(engine));
        let deadline = now + self.limits.load_timeout;
        let mut loads = Vec::new();
        while loads.len() < max_loads
            && let Some(load) = wave.next()
        {
            let loading = Loading { version: wanted, source: load.source.clone(), deadline };
            self.loading.insert(load.engine.clone(), loading);
            loads.push(load);
        }
        loads
    }

    /// Records the outcome of an engine's load.
    pub fn record_outcome(&mut self, engine: &TargetId, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Loaded => {
                self.loading.remove(engine);
                self.failures.remove(engine);
            }
            Outcome::Failed => {
                self.loading.remove(engine);
                self.back_off(engine, now);
            }
            Outcome::Unknown => {}
        }
    }

    /// Returns whether an engine has a load in progress.
    pub fn is_loading(&self, engine: &TargetId) -> bool {
        self.loading.contains_key(engine)
    }

    /// Returns the number of loads in progress.
    pub fn loading(&self) -> usize {
        self.loading.len()
    }

    /// Ends the loads whose engine reports the version, fails those that timed out, and drops the
    /// state of engines that are gone.
    fn update_loads(&mut self, now: Instant, engines: &[Engine]) {
        for engine in engines {
            if self.loading.get(&engine.id).is_some_and(|load| engine.reported >= load.version) {
                self.record_outcome(&engine.id, Outcome::Loaded, now);
            }
        }
        let timed_out: Vec<TargetId> =
            self.loading.extract_if(.., |_, load| load.deadline <= now).map(|(id, _)| id).collect();
        for engine in timed_out {
            self.back_off(&engine, now);
        }
        let known: BTreeSet<&TargetId> = engines.iter().map(|engine| &engine.id).collect();
        self.loading.retain(|id, _| known.contains(id));
        self.failures.retain(|id, _| known.contains(id));
    }

    fn back_off(&mut self, engine: &TargetId, now: Instant) {
        let count = self.failures.get(engine).map_or(0, |failure| failure.count) + 1;
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(count - 1).min(1 << 10);
        let retry_at = now + backoff.min(MAX_BACKOFF);
        self.failures.insert(engine.clone(), Failure { count, retry_at });
    }

    fn is_candidate(&self, engine: &Engine, wanted: Version, now: Instant) -> bool {
        let in_backoff = self.failures.get(&engine.id).is_some_and(|f| f.retry_at > now);
        engine.reported < wanted && !in_backoff && !self.loading.contains_key(&engine.id)
    }
}
