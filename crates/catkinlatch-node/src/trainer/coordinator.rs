//! What this node knows as the coordinator of trainers.

use catkinlatch_base::{BatchNumber, TrainerId, derive_schema};
use catkinlatch_rollout::{Pool, pool};
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::Notify;

derive_schema! {
    /// A batch as a trainer gets it.
    pub struct Batch {
        /// Its number.
        pub number: BatchNumber,
        /// The samples.
        pub samples: Vec<pool::Sample>,
    }
}

/// What a coordinator holds for one trainer.
#[derive(Debug, Default)]
pub struct Coordinator {
    /// The samples.
    pub pool: Pool,
    /// The batch that was handed out last, kept for resends.
    pub last: Option<Batch>,
}

/// All trainers that this node coordinates.
#[derive(Debug, Default)]
pub struct Coordinators {
    trainers: Mutex<BTreeMap<TrainerId, Coordinator>>,
    /// Wakes tasks that wait for samples.
    pub progress: Notify,
}

impl Coordinators {
    /// Locks the trainers.
    pub fn lock(&self) -> MutexGuard<'_, BTreeMap<TrainerId, Coordinator>> {
        self.trainers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
