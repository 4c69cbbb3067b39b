//! Roll-out of weights to engines in waves.

mod allotment;
mod engine;
mod limit;
mod load;
mod pace;
mod wave;

pub use self::{
    allotment::Allotment,
    engine::Engine,
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

/// How long an engine rests after its first failed load.
const FIRST_REST: Duration = Duration::from_millis(500);

/// How long an engine rests at most after a failed load.
const LONGEST_REST: Duration = Duration::from_secs(30);

/// A load under way.
#[derive(Clone, Debug)]
struct Loading {
    version: Version,
    source: Source,
    until: Instant,
}

/// Failed loads of one engine.
#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    rest_until: Instant,
}

/// The roll-out of one model's weights.
///
/// What an engine has is what it reports; an order that was given or confirmed proves nothing.
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
/// assert_eq!(wave.len(), 1, "three of four engines keep serving");
/// ```
#[derive(Clone, Debug)]
pub struct Rollout {
    limits: Limits,
    loading: BTreeMap<TargetId, Loading>,
    failures: BTreeMap<TargetId, Failure>,
}

impl Rollout {
    /// Creates a roll-out without loads.
    pub fn new(limits: Limits) -> Self {
        Self { limits, loading: BTreeMap::new(), failures: BTreeMap::new() }
    }

    /// Returns the loads to order now.
    ///
    /// `floor` is the oldest version whose samples a trainer still takes.
    pub fn next(
        &mut self,
        now: Instant,
        wanted: Version,
        floor: Version,
        engines: &[Engine],
    ) -> Vec<Load> {
        self.next_up_to(now, wanted, floor, engines, usize::MAX)
    }

    /// Returns the loads to order now, but no more than `most`: other models may load as well.
    pub fn next_up_to(
        &mut self,
        now: Instant,
        wanted: Version,
        floor: Version,
        engines: &[Engine],
        most: usize,
    ) -> Vec<Load> {
        self.forget(now, engines);
        let mut wave = Wave::new(&self.limits, wanted, floor, engines, &self.loading);
        let candidates = engines.iter().filter(|engine| self.is_candidate(engine, wanted, now));
        candidates.for_each(|engine| wave.add(engine));
        let until = now + self.limits.load_timeout;
        let mut loads = Vec::new();
        while loads.len() < most
            && let Some(load) = wave.next()
        {
            let loading = Loading { version: wanted, source: load.source.clone(), until };
            self.loading.insert(load.engine.clone(), loading);
            loads.push(load);
        }
        loads
    }

    /// Records what became of a load.
    pub fn ended(&mut self, engine: &TargetId, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Loaded => {
                self.loading.remove(engine);
                self.failures.remove(engine);
            }
            Outcome::Failed => {
                self.loading.remove(engine);
                self.rest(engine, now);
            }
            Outcome::Unknown => {}
        }
    }

    /// Returns whether an engine loads.
    pub fn is_loading(&self, engine: &TargetId) -> bool {
        self.loading.contains_key(engine)
    }

    /// Returns how many loads are under way.
    pub fn loading(&self) -> usize {
        self.loading.len()
    }

    /// Ends the loads whose engine reports the version, drops those that took too long, and all about engines that are gone.
    fn forget(&mut self, now: Instant, engines: &[Engine]) {
        for engine in engines {
            if self.loading.get(&engine.id).is_some_and(|load| engine.reported >= load.version) {
                self.ended(&engine.id, Outcome::Loaded, now);
            }
        }
        let late: Vec<TargetId> =
            self.loading.extract_if(.., |_, load| load.until <= now).map(|(id, _)| id).collect();
        for engine in late {
            self.rest(&engine, now);
        }
        let known: BTreeSet<&TargetId> = engines.iter().map(|engine| &engine.id).collect();
        self.loading.retain(|id, _| known.contains(id));
        self.failures.retain(|id, _| known.contains(id));
    }

    fn rest(&mut self, engine: &TargetId, now: Instant) {
        let count = self.failures.get(engine).map_or(0, |failure| failure.count) + 1;
        let rest = FIRST_REST * 2_u32.saturating_pow(count - 1).min(1 << 10);
        let rest_until = now + rest.min(LONGEST_REST);
        self.failures.insert(engine.clone(), Failure { count, rest_until });
    }

    fn is_candidate(&self, engine: &Engine, wanted: Version, now: Instant) -> bool {
        let rests = self.failures.get(&engine.id).is_some_and(|f| f.rest_until > now);
        engine.reported < wanted && !rests && !self.loading.contains_key(&engine.id)
    }
}
