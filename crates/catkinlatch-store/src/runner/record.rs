//! Records the progress of long items in the replicated state.

use super::Runner;
use catkinlatch_ledger::Command;
use log::info;
use std::{sync::PoisonError, time::Duration};

/// Interval at which the progress of long items is recorded, which bounds the work lost when the
/// leader changes.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// The most items in one record, to bound the size of a log entry.
const MAX_RECORDED_ITEMS: usize = 64;

impl Runner {
    /// Commits the progress of long items, so that the next leader can resume them.
    pub(super) fn record_progress(&mut self) {
        let now = self.host.clock.now();
        if now < self.last_recorded + RECORD_INTERVAL {
            return;
        }
        self.last_recorded = now;
        let wall_ms = self.host.clock.wall_ms();
        let mut advances = Vec::new();
        for ((job, item), handle) in &self.handles {
            let Some(shared_progress) = &handle.progress else { continue };
            let Some(task) = self.schedule.task_mut(job, *item) else { continue };
            let progress = shared_progress.lock().unwrap_or_else(PoisonError::into_inner);
            advances.extend(task.take_unrecorded(&progress, wall_ms));
        }
        for chunk in advances.chunks(MAX_RECORDED_ITEMS) {
            let (host, chunk) = (self.host.clone(), chunk.to_vec());
            self.runs.spawn(async move {
                let items = chunk.len();
                let reply = host.replica.propose(Command::Advance(chunk)).await;
                info!(items = items, reply:? = reply; "jobs: recorded progress");
            });
        }
    }
}
