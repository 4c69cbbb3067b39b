//! Hedging: second runs for the last samples of a group.

use super::{Pool, Position, Task};
use catkinlatch_base::{Instant, SampleId};
use std::time::Duration;

/// Maximum number of samples missing from a group for a second run to be worth an engine slot.
const MAX_MISSING_SAMPLES: usize = 2;

/// Time without new tokens after which a run counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Fraction of the median rate below which a run gets a second run.
const SLOW_RATE_FRACTION: f64 = 0.5;

impl Pool {
    /// Starts a second run of a sample that delays its group, to use a spare engine slot.
    ///
    /// The second run resumes from the tokens of the first. A run from the start would finish first
    /// where its answer happens to be short, and so bias the samples towards short answers.
    pub fn hedge(&mut self, now: Instant) -> Option<Task> {
        let median = self.median_rate(now);
        let position = self
            .running
            .values()
            .filter(|position| self.delays_group(**position, median, now))
            .min_by_key(|position| (position.number, position.index))
            .copied()?;
        Some(self.start(position, now))
    }

    /// Returns the stalled runs, so that a caller can move them where engines support resuming.
    pub fn stalled(&self, now: Instant) -> Vec<SampleId> {
        let is_stalled = |id: &&SampleId| {
            let position = self.running[*id];
            let slot = &self.groups[&position.number].slots[position.index];
            let run = slot.runs.iter().find(|run| run.sample == **id);
            run.is_some_and(|run| now.saturating_duration_since(run.progressed) > STALL_TIMEOUT)
        };
        self.running.keys().filter(is_stalled).cloned().collect()
    }

    /// Returns whether a sample is one of the last of its group, and its only run stalled or slow.
    fn delays_group(&self, position: Position, median: f64, now: Instant) -> bool {
        let slots = &self.groups[&position.number].slots;
        let missing = slots.iter().filter(|slot| slot.completed.is_none()).count();
        let [run] = slots[position.index].runs.as_slice() else { return false };
        let stalled = now.saturating_duration_since(run.progressed) > STALL_TIMEOUT;
        let old_enough = now.saturating_duration_since(run.started) > STALL_TIMEOUT;
        missing <= MAX_MISSING_SAMPLES
            && (stalled || old_enough && run.rate(now) < SLOW_RATE_FRACTION * median)
    }

    /// Returns the median rate of all runs, in tokens per second.
    fn median_rate(&self, now: Instant) -> f64 {
        let slots = self.groups.values().flat_map(|entry| &entry.slots);
        let mut rates: Vec<f64> =
            slots.flat_map(|slot| &slot.runs).map(|run| run.rate(now)).collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or_default()
    }
}
