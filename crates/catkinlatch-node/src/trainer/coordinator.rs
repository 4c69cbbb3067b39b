//! What this node holds as the coordinator of trainers.

use super::kept::Kept;
use catkinlatch_base::{
    BatchNumber, Epoch, HostId, SampleId, TrainerId, derive_schema, derive_value,
};
use catkinlatch_rollout::{Pool, pool};
use catkinlatch_state::batch;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{sync::Notify, task::AbortHandle};

derive_schema! {
    /// A batch as a trainer gets it.
    pub struct Batch {
        /// Its number.
        pub number: BatchNumber,
        /// The samples.
        pub samples: Vec<pool::Sample>,
    }
}

impl Batch {
    /// Returns what is committed about the batch, if each sample has evidence.
    pub fn make_up(&self, holders: Vec<HostId>) -> Option<batch::Batch> {
        let samples = self.samples.iter().map(committed).collect::<Option<_>>()?;
        Some(batch::Batch { number: self.number, samples, holders })
    }
}

derive_value! {
    /// A batch whose commit was proposed.
    pub struct Proposal {
        /// What was proposed.
        pub make_up: batch::Batch,
        /// What it holds.
        pub contents: Batch,
    }
}

/// What a coordinator holds for one trainer under one epoch.
#[derive(Debug)]
pub struct Coordinator {
    /// The samples.
    pub pool: Pool,
    /// Runs under way, to be cancelled when they are given up.
    pub runs: BTreeMap<SampleId, AbortHandle>,
    /// Batches that were proposed under the last number, of which at most one is committed.
    pub proposals: Vec<Proposal>,
    /// Held while a batch is made.
    pub making: Arc<tokio::sync::Mutex<()>>,
}

impl Coordinator {
    /// Creates a coordinator without samples.
    pub fn new(trainer: TrainerId, epoch: Epoch) -> Self {
        Self {
            pool: Pool::new(trainer, epoch),
            runs: BTreeMap::new(),
            proposals: Vec::new(),
            making: Arc::default(),
        }
    }

    /// Returns the contents of a committed batch.
    pub fn contents(&self, committed: &batch::Batch) -> Option<&Batch> {
        let of_batch = |proposal: &&Proposal| proposal.make_up == *committed;
        self.proposals.iter().find(of_batch).map(|proposal| &proposal.contents)
    }

    /// Keeps the contents of a batch until a later one is proposed.
    pub fn keep(&mut self, proposal: Proposal) {
        let number = proposal.contents.number;
        self.proposals.retain(|earlier| earlier.contents.number.next() >= number);
        self.proposals.push(proposal);
    }

    /// Cancels runs.
    pub fn cancel(&mut self, samples: &[SampleId]) {
        for sample in samples {
            if let Some(run) = self.runs.remove(sample) {
                run.abort();
            }
        }
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        for run in self.runs.values() {
            run.abort();
        }
    }
}

/// All trainers that this node coordinates.
#[derive(Debug, Default)]
pub struct Coordinators {
    trainers: Mutex<BTreeMap<TrainerId, Coordinator>>,
    kept: Mutex<BTreeMap<TrainerId, Kept>>,
    /// Wakes tasks that wait for samples.
    pub progress: Notify,
}

impl Coordinators {
    /// Locks what this node keeps for coordinators on other hosts.
    pub fn kept(&self) -> MutexGuard<'_, BTreeMap<TrainerId, Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the trainers.
    pub fn lock(&self) -> MutexGuard<'_, BTreeMap<TrainerId, Coordinator>> {
        self.trainers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what is committed about a sample.
fn committed(sample: &pool::Sample) -> Option<batch::Sample> {
    Some(batch::Sample {
        group: sample.task.number,
        index: sample.task.index,
        epoch: sample.task.epoch,
        attempt: sample.task.attempt,
        oldest: sample.evidence.oldest()?,
        newest: sample.evidence.newest()?,
    })
}
