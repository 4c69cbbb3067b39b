//! Measures how fast a version is rolled out to all engines, and the capacity that this costs.

use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, Ratio, TargetId, Version};
use catkinlatch_rollout::weights::{Engine, Limits, Load, Outcome, Rollout, Source};
use derive_more::Display;
use std::{collections::BTreeMap, time::Duration};

/// Interval at which engines report their version and loads are ordered.
const TICK: Duration = Duration::from_millis(100);

/// Probability that a load fails.
const LOAD_FAILURE_RATE: f64 = 0.02;

/// Simulated time after which the measurement ends even if engines lack the version.
const TIME_LIMIT: Duration = Duration::from_secs(3600);

/// A number of engines and the rates at which they can load weights.
#[derive(Clone, Debug, Display)]
#[display("{engines} engines, store for {store_loads} loads of {load_ms} ms, {}", self.strategy())]
pub struct SpreadCase {
    /// Number of engines.
    pub engines: usize,
    /// Engines that can load from the weight store at the same time without slowing each other.
    pub store_loads: u32,
    /// Time that an engine takes to load weights when no others load, in milliseconds.
    pub load_ms: u64,
    /// Whether the version is rolled out in waves, with peers as sources, rather than to all
    /// engines at once.
    pub waves: bool,
}

impl SpreadCase {
    /// Returns all cases of the report.
    pub fn all() -> Vec<Self> {
        let sizes =
            [(9, 1), (9, 2), (9, 4), (75, 8), (150, 8), (300, 8), (600, 4), (600, 8), (600, 16)];
        let case = |waves| {
            move |(engines, store_loads)| Self { engines, store_loads, load_ms: 2_500, waves }
        };
        let waves = sizes.into_iter().map(case(true));
        waves.chain([(9, 2), (600, 8)].into_iter().map(case(false))).collect()
    }

    fn strategy(&self) -> &'static str {
        if self.waves { "waves" } else { "all at once" }
    }

    fn limits(&self) -> Limits {
        let waves = Limits { store_loads: self.store_loads, ..Limits::default() };
        if self.waves {
            return waves;
        }
        let load_timeout = TIME_LIMIT;
        let least_serving = Ratio::new(0.0);
        Limits { store_loads: u32::MAX, peer_loads: 0, least_serving, load_timeout }
    }
}

/// Duration and cost of the roll-out of one version.
#[derive(Clone, Debug, PartialEq, Display)]
#[display(
    "all engines after {seconds:.1} s, {lost_engine_seconds:.0} engine-seconds lost, at most \
     {most_loading_percent:.0}% loading at once"
)]
pub struct Spread {
    /// Time from publication until all engines report the version, in seconds.
    pub seconds: f64,
    /// Time that engines spent loading, summed over engines, in seconds.
    pub lost_engine_seconds: f64,
    /// Largest share of engines that were loading at the same time.
    pub most_loading_percent: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Loaded { engine: TargetId, fails: bool },
}

/// Simulates the roll-out of one version.
pub fn spread(case: &SpreadCase, seed: u64) -> Spread {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut engines: Vec<Engine> = (0..case.engines).map(engine).collect();
    let mut rollout = Rollout::new(case.limits());
    let (wanted, floor) = (Version::new(2), Version::new(1));
    let mut clock = Clock::new();
    clock.schedule_after(Duration::ZERO, Event::Tick);
    let mut load_starts: BTreeMap<TargetId, Instant> = BTreeMap::new();
    let (mut loading_time, mut max_loading) = (Duration::ZERO, 0);
    while let Some(event) = clock.next_until(Instant::ZERO + TIME_LIMIT) {
        match event {
            Event::Tick => {
                if engines.iter().all(|engine| engine.reported == wanted) {
                    break;
                }
                let loads = rollout.next(clock.now(), wanted, floor, &engines);
                let concurrent = loads.iter().filter(|load| load.source == Source::Store).count();
                for Load { engine, .. } in loads {
                    let fails = random.f64() < LOAD_FAILURE_RATE;
                    load_starts.insert(engine.clone(), clock.now());
                    clock.schedule_after(
                        load_time(case, concurrent, fails),
                        Event::Loaded { engine, fails },
                    );
                }
                max_loading = max_loading.max(load_starts.len());
                clock.schedule_after(TICK, Event::Tick);
            }
            Event::Loaded { engine, fails } => {
                loading_time +=
                    load_starts.remove(&engine).map_or(Duration::ZERO, |start| clock.now() - start);
                if fails {
                    rollout.record_outcome(&engine, Outcome::Failed, clock.now());
                    continue;
                }
                rollout.record_outcome(&engine, Outcome::Loaded, clock.now());
                let loaded = engines.iter_mut().find(|e| e.id == engine);
                loaded.expect("the engine is known").reported = wanted;
            }
        }
    }
    Spread {
        seconds: clock.now().saturating_duration_since(Instant::ZERO).as_secs_f64(),
        lost_engine_seconds: loading_time.as_secs_f64(),
        most_loading_percent: 100.0 * max_loading as f64 / case.engines as f64,
    }
}

/// Returns the time of a load when `concurrent` loads from the store are ordered together.
///
/// A load that fails does so after half of its time.
fn load_time(case: &SpreadCase, concurrent: usize, fails: bool) -> Duration {
    let slowdown = (concurrent as f64 / f64::from(case.store_loads)).max(1.0);
    let full_time = Duration::from_millis(case.load_ms).mul_f64(slowdown);
    if fails { full_time / 2 } else { full_time }
}

fn engine(number: usize) -> Engine {
    Engine {
        id: format!("engine-{number}").parse().expect("the id is valid"),
        zone: format!("zone-{}", number % 12).parse().expect("the id is valid"),
        reported: Version::new(1),
    }
}
