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
    /// Held while a batch is committed or returned, so that requests are handled one at a time.
    pub commit_lock: Arc<tokio::sync::Mutex<()>>,
}

impl Coordinator {
    /// Creates a coordinator with an empty pool.
    pub fn new(trainer: TrainerId, epoch: Epoch) -> Self {
        Self { pool: Pool::new(trainer, epoch), runs: BTreeMap::new(), commit_lock: Arc::default() }
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

/// The coordinators on this node, and the copies that it stores for them and for those on other
/// hosts.
#[derive(Debug, Default)]
pub struct Coordinators {
    trainers: Mutex<BTreeMap<TrainerId, Coordinator>>,
    replicas: Mutex<BTreeMap<TrainerId, Replica>>,
    /// Notified when samples, groups or versions change, to wake tasks that wait for them.
    pub progress: Notify,
}

impl Coordinators {
    /// Locks the copies of groups and batches that this node stores.
    ///
    /// They outlast the coordinator: a host that no longer coordinates a trainer still holds the
    /// batches that it committed.
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
