//! The simulation: trainers, their pools and the engines, on simulated time.

use super::{
    Case, Figures, Policy,
    engine::{Engine, Run},
    figures::Collector,
    trainer::{Phase, Trainer},
};
use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, SampleId, Version};
use catkinlatch_rollout::{
    evidence::{self, Report, Span},
    pool::{Outcome, Task},
    share::{self, Claim},
    weights::{self, Load, Source},
};
use std::{collections::BTreeMap, time::Duration};

/// How often engines report tokens and samples are started.
const TICK: Duration = Duration::from_millis(250);

/// How often an engine becomes slow, on average.
const SLOW_EVERY: Duration = Duration::from_secs(60);

/// How often an engine crashes, on average.
const CRASH_EVERY: Duration = Duration::from_secs(300);

/// How long an engine is slow or down.
const SPELL: Duration = Duration::from_secs(20);

/// The share of loads that fail.
const FAILED_LOADS: f64 = 0.05;

/// The share of answers whose report is no evidence.
const BAD_REPORTS: f64 = 0.005;

/// How many batches beyond the next a trainer posts.
const POSTED_BATCHES: u64 = 2;

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Trained(usize),
    Slow,
    Crash,
    Loaded { engine: usize, trainer: usize, version: Version, fails: bool },
}

/// Runs a case under a policy.
///
/// # Panics
///
/// Panics if a sample names other versions than the engines' own records, or is older than the
/// bound.
pub fn run(case: &Case, policy: &Policy, seed: u64) -> Figures {
    let mut simulation = Simulation::new(case, policy, seed);
    simulation.run();
    simulation.collector.figures()
}

/// What is simulated.
pub(super) struct Simulation<'a> {
    case: &'a Case,
    policy: &'a Policy,
    clock: Clock<Event>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    records: BTreeMap<SampleId, Vec<Span>>,
    random: fastrand::Rng,
    collector: Collector,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation at its start.
    pub fn new(case: &'a Case, policy: &'a Policy, seed: u64) -> Self {
        let count = case.trainers.len();
        let mut trainers: Vec<Trainer> =
            (0..count).map(|place| Trainer::new(place, case, policy, seed)).collect();
        for trainer in &mut trainers {
            trainer.post(case, POSTED_BATCHES);
        }
        let mut clock = Clock::new();
        for event in [Event::Tick, Event::Slow, Event::Crash] {
            clock.after(TICK, event);
        }
        Self {
            case,
            policy,
            clock,
            engines: vec![Engine::new(count); case.engines],
            trainers,
            records: BTreeMap::new(),
            random: fastrand::Rng::with_seed(seed),
            collector: Collector::default(),
        }
    }

    fn run(&mut self) {
        let end = Instant::ZERO + self.case.duration;
        while let Some(event) = self.clock.next_until(end) {
            match event {
                Event::Tick => {
                    self.tick();
                    self.take_batches();
                    self.clock.after(TICK, Event::Tick);
                }
                Event::Trained(place) => self.publish(place),
                Event::Slow => {
                    let until = self.clock.now() + SPELL;
                    self.any_engine().slow_until = until;
                    self.later(SLOW_EVERY, Event::Slow);
                }
                Event::Crash => {
                    self.crash();
                    self.later(CRASH_EVERY, Event::Crash);
                }
                Event::Loaded { engine, trainer, version, fails } => {
                    self.loaded(engine, trainer, version, fails);
                }
            }
        }
    }

    /// Lets the engines work for one tick and starts samples on free slots.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        for place in 0..self.engines.len() {
            self.work(place, now);
        }
        self.roll_out(now);
        self.fill(now);
    }

    fn work(&mut self, place: usize, now: Instant) {
        let (rate, seconds) = (self.case.tokens_per_second, TICK.as_secs_f64());
        let (trainers, generated) = (&mut self.trainers, &mut self.collector.generated);
        let mut given_up = Vec::new();
        self.engines[place].work(now, seconds, rate, |run, span| {
            *generated += span.tokens.get();
            if !trainers[run.trainer].pool.progress(&run.sample, "", span, now) {
                given_up.push(run.sample.clone());
            }
        });
        for sample in given_up {
            self.collector.redone += 1;
            self.engines[place].cancel(&sample);
        }
        for run in self.engines[place].complete() {
            self.finish(&run);
        }
    }

    /// Gives a pool the answer to a run, at times without evidence.
    fn finish(&mut self, run: &Run) {
        let honest = self.random.f64() >= BAD_REPORTS;
        let last = run.record.last().map(|span| span.version);
        let report = Report {
            start: run.record.first().map(|span| span.version),
            end: last.filter(|_| honest),
            spans: run.record.clone(),
            completion_tokens: run.record.iter().map(|span| span.tokens).sum(),
            ..Report::default()
        };
        if let Some(truth) = self.records.get_mut(&run.sample) {
            for span in &run.record {
                evidence::push(truth, *span);
            }
        }
        match self.trainers[run.trainer].pool.finish(&run.sample, "", &report) {
            Outcome::Kept { cancel } => self.cancel(&cancel),
            Outcome::Unknown => {}
            Outcome::NoEvidence(_) | Outcome::TooOld => self.collector.redone += 1,
        }
    }

    /// Hands whole batches to the trainers that wait.
    fn take_batches(&mut self) {
        let now = self.clock.now();
        for place in 0..self.trainers.len() {
            let trainer = &mut self.trainers[place];
            let Phase::Waiting(since) = trainer.phase else { continue };
            let newest = trainer.newest;
            let Some(samples) = trainer.take(self.case) else { continue };
            trainer.phase = Phase::Training;
            let first = trainer.next.get() == 2;
            trainer.post(self.case, POSTED_BATCHES);
            self.clock.after(trainer.training_time, Event::Trained(place));
            if !first {
                self.collector.idle += now - since;
                self.collector.watched += now - since;
            }
            self.collector.watched += trainer.training_time;
            for sample in &samples {
                let truth = self.records.get(&sample.task.sample);
                assert_eq!(Some(&sample.evidence.spans), truth, "{}", sample.task.sample);
                self.collector.delivered += sample.evidence.completion_tokens.get();
            }
            let oldest = samples.iter().filter_map(|sample| sample.evidence.oldest());
            let ages: Vec<u64> = oldest.map(|oldest| newest.get() - oldest.get()).collect();
            assert!(ages.iter().all(|age| *age <= self.case.max_age_versions));
            self.collector.batch(ages.into_iter());
        }
    }

    fn publish(&mut self, place: usize) {
        let trainer = &mut self.trainers[place];
        trainer.phase = Phase::Waiting(self.clock.now());
        let newest = trainer.publish();
        let finished = trainer.pool.finished().count();
        let cancel = trainer.pool.set_newest_version(newest, self.case.max_age_versions);
        let expired = finished - trainer.pool.finished().count();
        self.collector.redone += (cancel.len() + expired) as u64;
        self.cancel(&cancel);
    }

    fn crash(&mut self) {
        let until = self.clock.now() + SPELL;
        let engine = self.any_engine();
        engine.down_until = until;
        let lost: Vec<Run> = engine.runs.drain(..).collect();
        for run in lost {
            self.trainers[run.trainer].pool.fail(&run.sample);
        }
    }

    /// Orders loads of each trainer's newest version.
    fn roll_out(&mut self, now: Instant) {
        for place in 0..self.trainers.len() {
            let seen: Vec<weights::Engine> = (0..self.engines.len())
                .filter(|e| self.engines[*e].is_up(now))
                .map(|e| seen(e, self.engines[e].versions[place]))
                .collect();
            let trainer = &mut self.trainers[place];
            let wanted = trainer.newest;
            let floor = wanted.get().saturating_sub(self.case.max_age_versions);
            let loads = trainer.rollout.next(now, wanted, Version::new(floor), &seen);
            let sharing = loads.iter().filter(|load| load.source == Source::Store).count();
            for load in loads {
                self.load(place, &load, sharing);
            }
        }
    }

    fn load(&mut self, trainer: usize, load: &Load, sharing: usize) {
        let name = load.engine.as_str();
        let engine: usize = name.trim_start_matches("engine-").parse().expect("the engine is ours");
        let crowd = (sharing as f64 / f64::from(self.case.store_loads)).max(1.0);
        let whole = self.case.load_time.mul_f64(crowd);
        let fails = self.random.f64() < FAILED_LOADS;
        let time = if fails { whole / 2 } else { whole };
        self.engines[engine].loading = true;
        let version = load.version;
        self.clock.after(time, Event::Loaded { engine, trainer, version, fails });
    }

    fn loaded(&mut self, engine: usize, trainer: usize, version: Version, fails: bool) {
        let (now, target) = (self.clock.now(), seen(engine, version).id);
        let rollout = &mut self.trainers[trainer].rollout;
        self.engines[engine].loading = false;
        if fails {
            rollout.record_outcome(&target, weights::Outcome::Failed, now);
        } else {
            self.engines[engine].versions[trainer] = version;
            rollout.record_outcome(&target, weights::Outcome::Loaded, now);
        }
    }

    /// Starts samples up to each trainer's share, and takes back slots beyond it.
    fn fill(&mut self, now: Instant) {
        let up = self.engines.iter().filter(|engine| engine.is_up(now)).count();
        let slots = u32::try_from(up * self.case.slots).unwrap_or(u32::MAX);
        let claims: Vec<Claim> = self.trainers.iter().enumerate().map(claim).collect();
        for (place, share) in share::divide(slots, &claims).into_iter().enumerate() {
            let excess = self.trainers[place].pool.yield_slots(share as usize);
            self.cancel(&excess);
            while self.trainers[place].pool.running() < share as usize {
                if !self.start(place, now) {
                    break;
                }
            }
        }
    }

    /// Starts a sample if there is one and an engine is free.
    fn start(&mut self, place: usize, now: Instant) -> bool {
        let Some(engine) = self.free_engine(place, now) else { return false };
        let trainer = &mut self.trainers[place];
        let task = if self.policy.hedge {
            trainer.pool.next_run(now)
        } else {
            trainer.pool.next_task(now)
        };
        let Some(task) = task else { return false };
        let missing = trainer.length(task.number, task.index) - had(&task);
        let earlier = task.partial.map(|partial| partial.spans).unwrap_or_default();
        self.records.insert(task.sample.clone(), earlier);
        self.engines[engine].runs.push(Run::new(place, task.sample, missing.max(1)));
        true
    }

    /// Returns the free engine with the newest weights, and the least work of those.
    fn free_engine(&self, trainer: usize, now: Instant) -> Option<usize> {
        let free = |e: &&usize| {
            let engine = &self.engines[**e];
            engine.is_up(now) && !engine.loading && engine.runs.len() < self.case.slots
        };
        let places: Vec<usize> = (0..self.engines.len()).collect();
        let key = |e: &&usize| {
            let engine = &self.engines[**e];
            (std::cmp::Reverse(engine.versions[trainer]), engine.runs.len())
        };
        places.iter().filter(free).min_by_key(key).copied()
    }

    fn cancel(&mut self, samples: &[SampleId]) {
        for sample in samples {
            for engine in &mut self.engines {
                engine.cancel(sample);
            }
        }
    }

    fn any_engine(&mut self) -> &mut Engine {
        let place = self.random.usize(..self.engines.len());
        &mut self.engines[place]
    }

    /// Adds an event after a random time with an exponential distribution.
    fn later(&mut self, mean: Duration, event: Event) {
        let factor = -(1.0 - self.random.f64()).ln();
        self.clock.after(mean.mul_f64(factor), event);
    }
}

/// Returns an engine as it reports itself.
fn seen(place: usize, reported: Version) -> weights::Engine {
    let id = format!("engine-{place}").parse().expect("the id is valid");
    let zone = format!("zone-{}", place % 3).parse().expect("the id is valid");
    weights::Engine { id, zone, reported }
}

fn claim((place, trainer): (usize, &Trainer)) -> Claim {
    let id = format!("trainer-{place}").parse().expect("the id is valid");
    Claim { trainer: id, weight: trainer.weight, wanted: trainer.pool.slot_demand() }
}

fn had(task: &Task) -> u64 {
    task.partial.as_ref().map_or(0, |partial| partial.tokens())
}
