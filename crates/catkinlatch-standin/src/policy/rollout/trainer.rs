//! A simulated trainer and its coordinator.

use super::{Case, Policy};
use catkinlatch_base::{
    BatchNumber, Epoch, GroupId, GroupNumber, Incarnation, Instant, TrainerId, Version,
};
use catkinlatch_rollout::{
    Pool,
    pool::{Group, Sample},
    weights::Rollout,
};
use catkinlatch_state::batch::{Admission, Batch, Change, Ledgers, Reply};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The longest sample, in tokens.
const MAX_TOKENS: u32 = 4096;

/// The median length, in tokens.
const MEDIAN_TOKENS: f64 = 600.0;

/// How much the lengths of different prompts differ, as the deviation of their logarithms.
const PROMPT_SIGMA: f64 = 0.7;

/// How much the samples of one prompt differ, as the deviation of their logarithms.
const SAMPLE_SIGMA: f64 = 0.7;

/// How many prompts the trainer's data has; each comes again after all others.
const PROMPTS: u64 = 1024;

/// What a trainer does now.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// It waits for a batch since this moment.
    Waiting(Instant),
    /// It trains.
    Training,
}

/// A simulated trainer and its coordinator.
pub struct Trainer {
    id: TrainerId,
    /// Its share of the slots.
    pub weight: u32,
    /// Its samples.
    pub pool: Pool,
    /// The roll-out of its weights.
    pub rollout: Rollout,
    /// What it does now.
    pub phase: Phase,
    /// The newest version that it published.
    pub newest: Version,
    /// The number of the next batch.
    pub next: BatchNumber,
    /// How long it trains on one batch.
    pub training_time: Duration,
    lengths: BTreeMap<(GroupNumber, u32), u64>,
    prompts: Vec<f64>,
    ledgers: Ledgers,
    posted: u64,
    random: fastrand::Rng,
}

impl Trainer {
    /// Creates a trainer whose epoch is assigned and whose weights are at version 0.
    pub fn new(place: usize, case: &Case, policy: &Policy, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ (place as u64 + 1) << 32);
        let id: TrainerId = format!("trainer-{place}").parse().expect("the id is valid");
        let mut ledgers = Ledgers::default();
        let host = "host-1".parse().expect("the id is valid");
        let incarnation = Incarnation::new(1);
        let after = Epoch::default();
        ledgers.apply(&Change::Assign { trainer: id.clone(), after, host, incarnation });
        let ahead = (f64::from(case.batch_samples) * policy.ahead.get()) as u32;
        let pool = Pool::new(id.clone(), Epoch::new(1))
            .with_batch_samples(case.batch_samples)
            .with_ahead_samples(ahead)
            .with_order(policy.order);
        let prompts: Vec<f64> =
            (0..PROMPTS).map(|_| MEDIAN_TOKENS * normal(&mut random, PROMPT_SIGMA).exp()).collect();
        Self {
            id,
            weight: case.trainers[place],
            pool,
            rollout: Rollout::new(policy.limits(case)),
            phase: Phase::Waiting(Instant::ZERO),
            newest: Version::default(),
            next: BatchNumber::new(1),
            training_time: training_time(place, case, &prompts, seed),
            lengths: BTreeMap::new(),
            prompts,
            ledgers,
            posted: 0,
            random,
        }
    }

    /// Posts groups until `batches` batches beyond the next are open.
    pub fn post(&mut self, case: &Case, batches: u64) {
        let due = (self.next.get() + batches) * u64::from(case.batch_groups());
        while self.posted < due {
            self.post_group(case.group_samples);
        }
    }

    fn post_group(&mut self, samples: u32) {
        let prompt = self.posted % PROMPTS;
        let id: GroupId = format!("group-{}", self.posted).parse().expect("the id is valid");
        self.posted += 1;
        let groups = vec![Admission { id: id.clone(), samples }];
        let change = Change::Admit { trainer: self.id.clone(), epoch: Epoch::new(1), groups };
        let Reply::Admitted(numbers) = self.ledgers.apply(&change) else {
            panic!("fewer groups are open than the ledger takes");
        };
        let number = numbers[0].expect("the group is new");
        for index in 0..samples {
            let tokens = length(&mut self.random, self.prompts[prompt as usize]);
            self.lengths.insert((number, index), tokens);
        }
        let prompts = vec![format!("prompt {prompt}"); samples as usize];
        self.pool.add(number, Group { id, prompts, max_tokens: MAX_TOKENS });
    }

    /// Returns how long a sample will be.
    pub fn length(&self, number: GroupNumber, index: u32) -> u64 {
        self.lengths[&(number, index)]
    }

    /// Commits the next batch if it is whole, and returns its samples.
    pub fn take(&mut self, case: &Case) -> Option<Vec<Sample>> {
        let samples = self.pool.batch()?;
        let batch = Batch {
            number: self.next,
            samples: samples.iter().map(make_up).collect(),
            holders: vec![],
        };
        let change = Change::Commit {
            trainer: self.id.clone(),
            epoch: Epoch::new(1),
            max_age_versions: case.max_age_versions,
            batch,
        };
        let reply = self.ledgers.apply(&change);
        assert_eq!(reply, Reply::Committed, "the pool offers what the ledger takes");
        let numbers: BTreeSet<GroupNumber> = samples.iter().map(|s| s.task.number).collect();
        self.pool.remove(&numbers);
        self.lengths.retain(|(number, _), _| !numbers.contains(number));
        self.next = self.next.next();
        Some(samples)
    }

    /// Publishes the next version.
    pub fn publish(&mut self) -> Version {
        self.newest = self.newest.next();
        self.ledgers.apply(&Change::Publish { trainer: self.id.clone(), version: self.newest });
        self.newest
    }
}

fn make_up(sample: &Sample) -> catkinlatch_state::batch::Sample {
    catkinlatch_state::batch::Sample {
        group: sample.task.number,
        index: sample.task.index,
        epoch: sample.task.epoch,
        attempt: sample.task.attempt,
        oldest: sample.evidence.oldest().expect("a sample in the pool has evidence"),
        newest: sample.evidence.newest().expect("a sample in the pool has evidence"),
    }
}

/// Returns how long a step takes for the case's work to be offered.
fn training_time(place: usize, case: &Case, prompts: &[f64], seed: u64) -> Duration {
    let mut random = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let draws = 16;
    let tokens = prompts.iter().flat_map(|prompt| std::iter::repeat_n(*prompt, draws));
    let sum: u64 = tokens.map(|median| length(&mut random, median)).sum();
    let mean = sum as f64 / (prompts.len() * draws) as f64;
    let share = f64::from(case.trainers[place]) / f64::from(case.trainers.iter().sum::<u32>());
    let capacity = case.all_slots() as f64 * case.tokens_per_second * share;
    let work = f64::from(case.batch_samples) * mean;
    Duration::from_secs_f64(work / (capacity * case.offered.get()))
}

fn length(random: &mut fastrand::Rng, median: f64) -> u64 {
    let tokens = median * normal(random, SAMPLE_SIGMA).exp();
    (tokens as u64).clamp(1, u64::from(MAX_TOKENS))
}

/// Draws from a normal distribution around zero by the method of Box and Muller.
fn normal(random: &mut fastrand::Rng, sigma: f64) -> f64 {
    let (radius, angle) = (1.0 - random.f64(), random.f64() * std::f64::consts::TAU);
    sigma * (-2.0 * radius.ln()).sqrt() * angle.cos()
}
