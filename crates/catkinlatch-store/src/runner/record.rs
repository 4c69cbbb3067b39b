//! Records of how far long items have come.

use super::Runner;
use catkinlatch_ledger::Command;
use log::info;
use std::{sync::PoisonError, time::Duration};

/// How often the progress of long items is recorded: what a change of leader may cost of them.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// How many items one record names at most, which bounds the size of an entry of the log.
const RECORDED_ITEMS: usize = 64;

impl Runner {
    /// Commits how far long items have come, so that the next leader need not begin them anew.
    pub(super) fn record_progress(&mut self) {
        let now = self.host.clock.now();
        if now < self.recorded + RECORD_INTERVAL {
            return;
        }
        self.recorded = now;
        let wall_ms = self.host.clock.wall_ms();
        let mut advances = Vec::new();
        for ((job, item), handle) in &self.handles {
            let Some(shown) = &handle.shown else { continue };
            let Some(task) = self.schedule.task_mut(job, *item) else { continue };
            let shown = shown.lock().unwrap_or_else(PoisonError::into_inner);
            advances.extend(task.advance(&shown, wall_ms));
        }
        for chunk in advances.chunks(RECORDED_ITEMS) {
            let (host, chunk) = (self.host.clone(), chunk.to_vec());
            self.runs.spawn(async move {
                let items = chunk.len();
                let reply = host.replica.propose(Command::Advance(chunk)).await;
                info!(items = items, reply:? = reply; "jobs: recorded progress");
            });
        }
    }
}
