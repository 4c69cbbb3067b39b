//! What the runs of items and the scoring calls share.

use catkinlatch_ledger::Choice;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// What the runs share.
#[derive(Clone, Default)]
pub struct Shared {
    choice: Arc<Mutex<Choice>>,
    freed: Arc<Notify>,
}

impl Shared {
    /// Locks what is known of targets; never held while waiting.
    pub fn choice(&self) -> MutexGuard<'_, Choice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is told when a scoring call has ended.
    pub fn freed(&self) -> &Notify {
        &self.freed
    }
}
