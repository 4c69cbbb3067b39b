//! Measures how fast a version spreads over engines, and the capacity that this costs.

use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, Ratio, TargetId, Version};
use catkinlatch_rollout::weights::{Engine, Limits, Load, Outcome, Rollout, Source};
use derive_more::Display;
use std::{collections::BTreeMap, time::Duration};

/// How often engines report their version and loads are given out.
const TICK: Duration = Duration::from_millis(100);

/// The share of loads that fail.
const FAILED_LOADS: f64 = 0.02;

/// After this time a spread counts as failed.
const TIME_LIMIT: Duration = Duration::from_secs(3600);

/// Engines and the rates at which weights reach them.
#[derive(Clone, Debug, Display)]
#[display("{engines} engines, store for {store_loads} loads of {load_ms} ms, {}", self.way())]
pub struct SpreadCase {
    /// How many engines there are.
    pub engines: usize,
    /// How many engines can load from the store at its full rate.
    pub store_loads: u32,
    /// How long one engine takes to load alone, in milliseconds.
    pub load_ms: u64,
    /// Whether the version goes out in waves with peers as sources, or to all engines at once.
    pub waves: bool,
}

impl SpreadCase {
    /// Returns the cases of the report.
    pub fn all() -> Vec<Self> {
        let sizes =
            [(9, 1), (9, 2), (9, 4), (75, 8), (150, 8), (300, 8), (600, 4), (600, 8), (600, 16)];
        let case = |waves| {
            move |(engines, store_loads)| Self { engines, store_loads, load_ms: 2_500, waves }
        };
        let waves = sizes.into_iter().map(case(true));
        waves.chain([(9, 2), (600, 8)].into_iter().map(case(false))).collect()
    }

    fn way(&self) -> &'static str {
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

/// How a version spread.
#[derive(Clone, Debug, PartialEq, Display)]
#[display(
    "all engines after {seconds:.1} s, {lost_engine_seconds:.0} engine-seconds lost, at most \
     {most_loading_percent:.0}% loading at once"
)]
pub struct Spread {
    /// When all engines report the version, in seconds after it was published.
    pub seconds: f64,
    /// The time that engines spent loading, summed over engines.
    pub lost_engine_seconds: f64,
    /// The largest share of engines that loaded at one time.
    pub most_loading_percent: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Loaded { engine: TargetId, fails: bool },
}

/// Spreads one version.
pub fn spread(case: &SpreadCase, seed: u64) -> Spread {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut engines: Vec<Engine> = (0..case.engines).map(engine).collect();
    let mut rollout = Rollout::new(case.limits());
    let (wanted, floor) = (Version::new(2), Version::new(1));
    let mut clock = Clock::new();
    clock.after(Duration::ZERO, Event::Tick);
    let mut since: BTreeMap<TargetId, Instant> = BTreeMap::new();
    let (mut lost, mut most) = (Duration::ZERO, 0);
    while let Some(event) = clock.next_until(Instant::ZERO + TIME_LIMIT) {
        match event {
            Event::Tick => {
                if engines.iter().all(|engine| engine.reported == wanted) {
                    break;
                }
                let loads = rollout.next(clock.now(), wanted, floor, &engines);
                let sharing = loads.iter().filter(|load| load.source == Source::Store).count();
                for Load { engine, .. } in loads {
                    let fails = random.f64() < FAILED_LOADS;
                    since.insert(engine.clone(), clock.now());
                    clock.after(load_time(case, sharing, fails), Event::Loaded { engine, fails });
                }
                most = most.max(since.len());
                clock.after(TICK, Event::Tick);
            }
            Event::Loaded { engine, fails } => {
                lost += since.remove(&engine).map_or(Duration::ZERO, |since| clock.now() - since);
                if fails {
                    rollout.record_outcome(&engine, Outcome::Failed, clock.now());
                    continue;
                }
                rollout.record_outcome(&engine, Outcome::Loaded, clock.now());
                let own = engines.iter_mut().find(|e| e.id == engine);
                own.expect("the engine is known").reported = wanted;
            }
        }
    }
    Spread {
        seconds: clock.now().saturating_duration_since(Instant::ZERO).as_secs_f64(),
        lost_engine_seconds: lost.as_secs_f64(),
        most_loading_percent: 100.0 * most as f64 / case.engines as f64,
    }
}

/// Returns how long a load takes while `sharing` engines load from the store.
fn load_time(case: &SpreadCase, sharing: usize, fails: bool) -> Duration {
    let crowd = (sharing as f64 / f64::from(case.store_loads)).max(1.0);
    let whole = Duration::from_millis(case.load_ms).mul_f64(crowd);
    if fails { whole / 2 } else { whole }
}

fn engine(place: usize) -> Engine {
    Engine {
        id: format!("engine-{place}").parse().expect("the id is valid"),
        zone: format!("zone-{}", place % 12).parse().expect("the id is valid"),
        reported: Version::new(1),
    }
}
