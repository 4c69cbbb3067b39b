//! State that the runs of items and the scoring calls share.

use crate::concurrency::Limit;
use catkinlatch_ledger::Balancer;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// State that the runs of items and the scoring calls share.
#[derive(Clone, Default)]
pub struct Shared {
    balancer: Arc<Mutex<Balancer>>,
    slot_freed: Arc<Notify>,
    run_limit: Arc<Mutex<Limit>>,
}

impl Shared {
    /// Locks the load and failure statistics of targets; the guard must not be held across an
    /// await.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the limit on the runs under way; the guard must not be held across an await.
    pub fn run_limit(&self) -> MutexGuard<'_, Limit> {
        self.run_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the notification that a scoring call has ended and freed its slot.
    pub fn slot_freed(&self) -> &Notify {
        &self.slot_freed
    }
}
