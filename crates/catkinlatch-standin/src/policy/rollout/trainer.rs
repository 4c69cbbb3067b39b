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

/// Maximum length of a sample.
const MAX_TOKENS: u32 = 4096;

/// Median length of a sample over all prompts.
const MEDIAN_TOKENS: f64 = 600.0;

/// Standard deviation of the logarithm of the prompts' median lengths.
const PROMPT_SIGMA: f64 = 0.7;

/// Standard deviation of the logarithm of the sample lengths of one prompt.
const SAMPLE_SIGMA: f64 = 0.7;

/// Number of prompts in the trainer's data, over which the trainer cycles.
const PROMPTS: u64 = 1024;

/// Current activity of a trainer.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// Waits for a batch since this instant.
    Waiting(Instant),
    /// Trains on a batch.
    Training,
}

/// A simulated trainer and its coordinator.
pub struct Trainer {
    id: TrainerId,
    /// Weight of the trainer's share of the slots.
    pub weight: u32,
    /// Groups and samples that are not yet delivered.
    pub pool: Pool,
    /// Roll-out of the trainer's weights.
    pub rollout: Rollout,
    /// Current activity.
    pub phase: Phase,
    /// Newest published version.
    pub newest_version: Version,
    /// Number of the next batch.
    pub next_batch: BatchNumber,
    /// Time to train on one batch.
    pub training_time: Duration,
    /// Drawn lengths of all open samples, in tokens, by group and index.
    lengths: BTreeMap<(GroupNumber, u32), u64>,
    /// Median sample length of each prompt, in tokens.
    prompts: Vec<f64>,
    ledgers: Ledgers,
    /// Number of groups posted so far.
    posted: u64,
    random: fastrand::Rng,
}

impl Trainer {
    /// Creates a trainer that waits for its first batch.
    ///
    /// Its epoch is assigned, and its weights are at version 0.
    pub fn new(trainer_index: usize, case: &Case, policy: &Policy, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ (trainer_index as u64 + 1) << 32);
        let id: TrainerId = format!("trainer-{trainer_index}").parse().expect("the id is valid");
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
        let prompts: Vec<f64> = (0..PROMPTS)
            .map(|_| MEDIAN_TOKENS * draw_normal(&mut random, PROMPT_SIGMA).exp())
            .collect();
        Self {
            id,
            weight: case.trainers[trainer_index],
            pool,
            rollout: Rollout::new(policy.limits(case)),
            phase: Phase::Waiting(Instant::ZERO),
            newest_version: Version::default(),
            next_batch: BatchNumber::new(1),
            training_time: training_time(trainer_index, case, &prompts, seed),
            lengths: BTreeMap::new(),
            prompts,
            ledgers,
            posted: 0,
            random,
        }
    }

    /// Posts groups until there are enough for `batches` batches beyond the next one.
    pub fn post_groups(&mut self, case: &Case, batches: u64) {
        let target_count = (self.next_batch.get() + batches) * u64::from(case.batch_groups());
        while self.posted < target_count {
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
            panic!("the ledger did not admit the group");
        };
        let number = numbers[0].expect("the group is new");
        for index in 0..samples {
            let tokens = draw_length(&mut self.random, self.prompts[prompt as usize]);
            self.lengths.insert((number, index), tokens);
        }
        let prompts = vec![format!("prompt {prompt}"); samples as usize];
        self.pool.add(number, Group { id, prompts, max_tokens: MAX_TOKENS });
    }

    /// Returns the length of a sample in tokens, as drawn when its group was posted.
    ///
    /// # Panics
    ///
    /// Panics if the group is not open.
    pub fn sample_tokens(&self, number: GroupNumber, index: u32) -> u64 {
        self.lengths[&(number, index)]
    }

    /// Commits the next batch and returns its samples, or `None` if it is not complete yet.
    ///
    /// # Panics
    ///
    /// Panics if the ledger refuses the batch.
    pub fn take_batch(&mut self, case: &Case) -> Option<Vec<Sample>> {
        let samples = self.pool.batch()?;
        let batch = Batch {
            number: self.next_batch,
            samples: samples.iter().map(batch_sample).collect(),
            holders: vec![],
        };
        let change = Change::Commit {
            trainer: self.id.clone(),
            epoch: Epoch::new(1),
            max_age_versions: case.max_age_versions,
            batch,
        };
        let reply = self.ledgers.apply(&change);
        assert_eq!(reply, Reply::Committed, "the ledger commits the batch of the pool");
        let numbers: BTreeSet<GroupNumber> = samples.iter().map(|s| s.task.number).collect();
        self.pool.remove(&numbers);
        self.lengths.retain(|(number, _), _| !numbers.contains(number));
        self.next_batch = self.next_batch.next();
        Some(samples)
    }

    /// Publishes the next version.
    pub fn publish(&mut self) -> Version {
        self.newest_version = self.newest_version.next();
        self.ledgers
            .apply(&Change::Publish { trainer: self.id.clone(), version: self.newest_version });
        self.newest_version
    }
}

fn batch_sample(sample: &Sample) -> catkinlatch_state::batch::Sample {
    catkinlatch_state::batch::Sample {
        group: sample.task.number,
        index: sample.task.index,
        epoch: sample.task.epoch,
        attempt: sample.task.attempt,
        oldest: sample.evidence.oldest().expect("a sample in the pool has evidence"),
        newest: sample.evidence.newest().expect("a sample in the pool has evidence"),
    }
}

/// Returns the training time per batch at which a trainer offers the load of the case.
fn training_time(trainer_index: usize, case: &Case, prompts: &[f64], seed: u64) -> Duration {
    let mut random = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let draws = 16;
    let tokens = prompts.iter().flat_map(|prompt| std::iter::repeat_n(*prompt, draws));
    let sum: u64 = tokens.map(|median| draw_length(&mut random, median)).sum();
    let mean = sum as f64 / (prompts.len() * draws) as f64;
    let share =
        f64::from(case.trainers[trainer_index]) / f64::from(case.trainers.iter().sum::<u32>());
    let capacity = case.total_slots() as f64 * case.tokens_per_second * share;
    let work = f64::from(case.batch_samples) * mean;
    Duration::from_secs_f64(work / (capacity * case.offered_load.get()))
}

fn draw_length(random: &mut fastrand::Rng, median: f64) -> u64 {
    let tokens = median * draw_normal(random, SAMPLE_SIGMA).exp();
    (tokens as u64).clamp(1, u64::from(MAX_TOKENS))
}

/// Draws from a normal distribution with mean 0 by the Box-Muller transform.
fn draw_normal(random: &mut fastrand::Rng, sigma: f64) -> f64 {
    let (radius, angle) = (1.0 - random.f64(), random.f64() * std::f64::consts::TAU);
    sigma * (-2.0 * radius.ln()).sqrt() * angle.cos()
}
