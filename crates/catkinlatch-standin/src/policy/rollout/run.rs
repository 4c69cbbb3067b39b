//! The simulation of trainers, their sample pools and the engines.

use super::{
    Case, Metrics, Policy,
    engine::{Engine, Run},
    metrics::Collector,
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

/// Interval at which engines report tokens and samples are started.
const TICK: Duration = Duration::from_millis(250);

/// Mean time between slowdowns of any engine.
const MEAN_SLOWDOWN_INTERVAL: Duration = Duration::from_secs(60);

/// Mean time between crashes of any engine.
const MEAN_CRASH_INTERVAL: Duration = Duration::from_secs(300);

/// Duration of a slowdown, and of the outage after a crash.
const FAULT_DURATION: Duration = Duration::from_secs(20);

/// Probability that a load fails.
const LOAD_FAILURE_RATE: f64 = 0.05;

/// Probability that the report in an answer lacks the version at its end.
const INVALID_REPORT_RATE: f64 = 0.005;

/// Batches beyond the next one for which a trainer posts groups in advance.
const POSTED_BATCHES: u64 = 2;

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Trained(usize),
    Slow,
    Crash,
    Loaded { engine: usize, trainer: usize, version: Version, fails: bool },
}

/// Simulates a case under a policy and returns the metrics.
///
/// # Panics
///
/// Panics if the evidence of a delivered sample differs from the engines' records, or if the sample
/// is older than the case allows.
pub fn run(case: &Case, policy: &Policy, seed: u64) -> Metrics {
    let mut simulation = Simulation::new(case, policy, seed);
    simulation.run();
    simulation.collector.into_metrics()
}

/// The state of a simulation.
pub(super) struct Simulation<'a> {
    case: &'a Case,
    policy: &'a Policy,
    clock: Clock<Event>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    /// Versions that produced the tokens of each sample, according to the engines.
    records: BTreeMap<SampleId, Vec<Span>>,
    random: fastrand::Rng,
    collector: Collector,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation in its initial state, with the first groups posted.
    pub fn new(case: &'a Case, policy: &'a Policy, seed: u64) -> Self {
        let count = case.trainers.len();
        let mut trainers: Vec<Trainer> = (0..count)
            .map(|trainer_index| Trainer::new(trainer_index, case, policy, seed))
            .collect();
        for trainer in &mut trainers {
            trainer.post_groups(case, POSTED_BATCHES);
        }
        let mut clock = Clock::new();
        for event in [Event::Tick, Event::Slow, Event::Crash] {
            clock.schedule_after(TICK, event);
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
                    self.clock.schedule_after(TICK, Event::Tick);
                }
                Event::Trained(trainer_index) => self.publish(trainer_index),
                Event::Slow => {
                    let until = self.clock.now() + FAULT_DURATION;
                    self.random_engine().slow_until = until;
                    self.schedule_random(MEAN_SLOWDOWN_INTERVAL, Event::Slow);
                }
                Event::Crash => {
                    self.crash();
                    self.schedule_random(MEAN_CRASH_INTERVAL, Event::Crash);
                }
                Event::Loaded { engine, trainer, version, fails } => {
                    self.finish_load(engine, trainer, version, fails);
                }
            }
        }
    }

    /// Simulates one tick: engines generate tokens, loads are ordered, and free slots get samples.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        for engine_index in 0..self.engines.len() {
            self.generate(engine_index, now);
        }
        self.order_loads(now);
        self.assign_slots(now);
    }

    fn generate(&mut self, engine_index: usize, now: Instant) {
        let (rate, seconds) = (self.case.tokens_per_second, TICK.as_secs_f64());
        let (trainers, generated) = (&mut self.trainers, &mut self.collector.generated_tokens);
        let mut stopped = Vec::new();
        self.engines[engine_index].generate(now, seconds, rate, |run, span| {
            *generated += span.tokens.get();
            if !trainers[run.trainer].pool.progress(&run.sample, "", span, now) {
                stopped.push(run.sample.clone());
            }
        });
        for sample in stopped {
            self.collector.discarded_samples += 1;
            self.engines[engine_index].cancel(&sample);
        }
        for run in self.engines[engine_index].take_completed() {
            self.finish(&run);
        }
    }

    /// Reports the end of a run to its trainer's pool; at random, the report lacks the end version.
    fn finish(&mut self, run: &Run) {
        let is_valid = self.random.f64() >= INVALID_REPORT_RATE;
        let last = run.record.last().map(|span| span.version);
        let report = Report {
            start: run.record.first().map(|span| span.version),
            end: last.filter(|_| is_valid),
            spans: run.record.clone(),
            completion_tokens: run.record.iter().map(|span| span.tokens).sum(),
            ..Report::default()
        };
        if let Some(recorded) = self.records.get_mut(&run.sample) {
            for span in &run.record {
                evidence::push(recorded, *span);
            }
        }
        match self.trainers[run.trainer].pool.finish(&run.sample, "", &report) {
            Outcome::Kept { cancel } => self.cancel(&cancel),
            Outcome::Unknown => {}
            Outcome::NoEvidence(_) | Outcome::TooOld => self.collector.discarded_samples += 1,
        }
    }

    /// Delivers complete batches to the trainers that wait for one.
    fn take_batches(&mut self) {
        let now = self.clock.now();
        for trainer_index in 0..self.trainers.len() {
            let trainer = &mut self.trainers[trainer_index];
            let Phase::Waiting(since) = trainer.phase else { continue };
            let newest = trainer.newest_version;
            let Some(samples) = trainer.take_batch(self.case) else { continue };
            trainer.phase = Phase::Training;
            let first = trainer.next_batch.get() == 2;
            trainer.post_groups(self.case, POSTED_BATCHES);
            self.clock.schedule_after(trainer.training_time, Event::Trained(trainer_index));
            if !first {
                self.collector.idle += now - since;
                self.collector.observed += now - since;
            }
            self.collector.observed += trainer.training_time;
            for sample in &samples {
                let recorded = self.records.get(&sample.task.sample);
                assert_eq!(Some(&sample.evidence.spans), recorded, "{}", sample.task.sample);
                self.collector.delivered_tokens += sample.evidence.completion_tokens.get();
            }
            let oldest = samples.iter().filter_map(|sample| sample.evidence.oldest());
            let ages: Vec<u64> = oldest.map(|oldest| newest.get() - oldest.get()).collect();
            assert!(ages.iter().all(|age| *age <= self.case.max_age_versions));
            self.collector.record_batch(ages.into_iter());
        }
    }

    fn publish(&mut self, trainer_index: usize) {
        let trainer = &mut self.trainers[trainer_index];
        trainer.phase = Phase::Waiting(self.clock.now());
        let newest = trainer.publish();
        let finished = trainer.pool.finished().count();
        let cancel = trainer.pool.set_newest_version(newest, self.case.max_age_versions);
        let expired = finished - trainer.pool.finished().count();
        self.collector.discarded_samples += (cancel.len() + expired) as u64;
        self.cancel(&cancel);
    }

    fn crash(&mut self) {
        let until = self.clock.now() + FAULT_DURATION;
        let engine = self.random_engine();
        engine.down_until = until;
        let lost: Vec<Run> = engine.runs.drain(..).collect();
        for run in lost {
            self.trainers[run.trainer].pool.fail(&run.sample);
        }
    }

    /// Orders loads of each trainer's newest version.
    fn order_loads(&mut self, now: Instant) {
        for trainer_index in 0..self.trainers.len() {
            let reports: Vec<weights::Engine> = (0..self.engines.len())
                .filter(|e| self.engines[*e].is_up(now))
                .map(|e| engine_report(e, self.engines[e].versions[trainer_index]))
                .collect();
            let trainer = &mut self.trainers[trainer_index];
            let wanted = trainer.newest_version;
            let floor = wanted.get().saturating_sub(self.case.max_age_versions);
            let loads = trainer.rollout.next(now, wanted, Version::new(floor), &reports);
            let concurrent = loads.iter().filter(|load| load.source == Source::Store).count();
            for load in loads {
                self.start_load(trainer_index, &load, concurrent);
            }
        }
    }

    fn start_load(&mut self, trainer: usize, load: &Load, concurrent: usize) {
        let name = load.engine.as_str();
        let engine: usize = name
            .trim_start_matches("engine-")
            .parse()
            .expect("the simulated engine id ends with its index");
        let slowdown = (concurrent as f64 / f64::from(self.case.store_loads)).max(1.0);
        let full_time = self.case.load_time.mul_f64(slowdown);
        let fails = self.random.f64() < LOAD_FAILURE_RATE;
        let time = if fails { full_time / 2 } else { full_time };
        self.engines[engine].is_loading = true;
        let version = load.version;
        self.clock.schedule_after(time, Event::Loaded { engine, trainer, version, fails });
    }

    fn finish_load(&mut self, engine: usize, trainer: usize, version: Version, fails: bool) {
        let (now, target) = (self.clock.now(), engine_report(engine, version).id);
        let rollout = &mut self.trainers[trainer].rollout;
        self.engines[engine].is_loading = false;
        if fails {
            rollout.record_outcome(&target, weights::Outcome::Failed, now);
        } else {
            self.engines[engine].versions[trainer] = version;
            rollout.record_outcome(&target, weights::Outcome::Loaded, now);
        }
    }

    /// Starts samples up to each trainer's share of the slots, and cancels runs beyond it.
    fn assign_slots(&mut self, now: Instant) {
        let up = self.engines.iter().filter(|engine| engine.is_up(now)).count();
        let slots = u32::try_from(up * self.case.slots).unwrap_or(u32::MAX);
        let claims: Vec<Claim> = self.trainers.iter().enumerate().map(claim).collect();
        for (trainer_index, share) in share::divide(slots, &claims).into_iter().enumerate() {
            let excess = self.trainers[trainer_index].pool.yield_slots(share as usize);
            self.cancel(&excess);
            while self.trainers[trainer_index].pool.running() < share as usize {
                if !self.start_sample(trainer_index, now) {
                    break;
                }
            }
        }
    }

    /// Starts the next sample of a trainer; returns false if it has none or no engine is free.
    fn start_sample(&mut self, trainer_index: usize, now: Instant) -> bool {
        let Some(engine) = self.free_engine(trainer_index, now) else { return false };
        let trainer = &mut self.trainers[trainer_index];
        let task = if self.policy.hedge {
            trainer.pool.next_run(now)
        } else {
            trainer.pool.next_task(now)
        };
        let Some(task) = task else { return false };
        let remaining_tokens =
            trainer.sample_tokens(task.number, task.index) - partial_tokens(&task);
        let earlier = task.partial.map(|partial| partial.spans).unwrap_or_default();
        self.records.insert(task.sample.clone(), earlier);
        self.engines[engine].runs.push(Run::new(
            trainer_index,
            task.sample,
            remaining_tokens.max(1),
        ));
        true
    }

    /// Returns the free engine with the newest weights of a trainer, and of those the one with the
    /// fewest runs.
    fn free_engine(&self, trainer: usize, now: Instant) -> Option<usize> {
        let free = |e: &&usize| {
            let engine = &self.engines[**e];
            engine.is_up(now) && !engine.is_loading && engine.runs.len() < self.case.slots
        };
        let indices: Vec<usize> = (0..self.engines.len()).collect();
        let key = |e: &&usize| {
            let engine = &self.engines[**e];
            (std::cmp::Reverse(engine.versions[trainer]), engine.runs.len())
        };
        indices.iter().filter(free).min_by_key(key).copied()
    }

    fn cancel(&mut self, samples: &[SampleId]) {
        for sample in samples {
            for engine in &mut self.engines {
                engine.cancel(sample);
            }
        }
    }

    fn random_engine(&mut self) -> &mut Engine {
        let engine_index = self.random.usize(..self.engines.len());
        &mut self.engines[engine_index]
    }

    /// Schedules an event after an exponentially distributed time.
    fn schedule_random(&mut self, mean: Duration, event: Event) {
        let factor = -(1.0 - self.random.f64()).ln();
        self.clock.schedule_after(mean.mul_f64(factor), event);
    }
}

/// Returns the report of an engine that has loaded version `reported`.
fn engine_report(engine_index: usize, reported: Version) -> weights::Engine {
    let id = format!("engine-{engine_index}").parse().expect("the id is valid");
    let zone = format!("zone-{}", engine_index % 3).parse().expect("the id is valid");
    weights::Engine { id, zone, reported }
}

fn claim((trainer_index, trainer): (usize, &Trainer)) -> Claim {
    let id = format!("trainer-{trainer_index}").parse().expect("the id is valid");
    Claim { trainer: id, weight: trainer.weight, wanted: trainer.pool.slot_demand() }
}

fn partial_tokens(task: &Task) -> u64 {
    task.partial.as_ref().map_or(0, |partial| partial.tokens())
}
