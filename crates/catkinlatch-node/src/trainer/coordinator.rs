//! In-memory state of the trainers that this node coordinates.

use super::replica::Replica;
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
    /// A batch of samples as delivered to the trainer.
    pub struct Batch {
        /// The batch number; the first batch of a trainer is 1.
        pub number: BatchNumber,
        /// The samples, in complete groups.
        pub samples: Vec<pool::Sample>,
    }
}

impl Batch {
    /// Returns the record of this batch that is committed to the control log.
    ///
    /// `holders` are the hosts that store the contents. Returns `None` if a sample lacks evidence
    /// of the weight versions that generated it.
    pub fn manifest(&self, holders: Vec<HostId>) -> Option<batch::Batch> {
        let samples = self.samples.iter().map(sample_record).collect::<Option<_>>()?;
        Some(batch::Batch { number: self.number, samples, holders })
    }
}

derive_value! {
    /// A batch whose commit was proposed to the control log.
    pub struct Proposal {
        /// The proposed record of the batch.
        pub manifest: batch::Batch,
        /// The samples of the batch.
        pub contents: Batch,
    }
}

/// The state of one trainer's coordinator during one epoch.
#[derive(Debug)]
pub struct Coordinator {
    /// Admitted groups and their samples.
    pub pool: Pool,
    /// Abort handles of the runs in progress.
    pub runs: BTreeMap<SampleId, AbortHandle>,
    /// Proposals of the last two batch numbers; at most one per number is committed.
    pub proposals: Vec<Proposal>,
    /// Held while a batch is committed or returned, so that requests are handled one at a time.
    pub commit_lock: Arc<tokio::sync::Mutex<()>>,
}

impl Coordinator {
    /// Creates a coordinator with an empty pool.
    pub fn new(trainer: TrainerId, epoch: Epoch) -> Self {
        Self {
            pool: Pool::new(trainer, epoch),
            runs: BTreeMap::new(),
            proposals: Vec::new(),
            commit_lock: Arc::default(),
        }
    }

    /// Returns the contents of a committed batch, if this node proposed or fetched it.
    pub fn contents(&self, committed: &batch::Batch) -> Option<&Batch> {
        let of_batch = |proposal: &&Proposal| proposal.manifest == *committed;
        self.proposals.iter().find(of_batch).map(|proposal| &proposal.contents)
    }

    /// Stores a proposal, and drops those more than one batch number older.
    pub fn add_proposal(&mut self, proposal: Proposal) {
        let number = proposal.contents.number;
        self.proposals.retain(|earlier| earlier.contents.number.next() >= number);
        self.proposals.push(proposal);
    }

    /// Aborts the runs of these samples.
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

/// The coordinators on this node, and the replicas that it stores for those on other hosts.
#[derive(Debug, Default)]
pub struct Coordinators {
    trainers: Mutex<BTreeMap<TrainerId, Coordinator>>,
    replicas: Mutex<BTreeMap<TrainerId, Replica>>,
    /// Notified when samples, groups or versions change, to wake tasks that wait for them.
    pub progress: Notify,
}

impl Coordinators {
    /// Locks the replicas that this node stores for coordinators on other hosts.
    pub fn replicas(&self) -> MutexGuard<'_, BTreeMap<TrainerId, Replica>> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the coordinators on this node.
    pub fn lock(&self) -> MutexGuard<'_, BTreeMap<TrainerId, Coordinator>> {
        self.trainers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the committed record of a sample, or `None` if it has no evidence.
fn sample_record(sample: &pool::Sample) -> Option<batch::Sample> {
    Some(batch::Sample {
        group: sample.task.number,
        index: sample.task.index,
        epoch: sample.task.epoch,
        attempt: sample.task.attempt,
        oldest: sample.evidence.oldest()?,
        newest: sample.evidence.newest()?,
    })
}
