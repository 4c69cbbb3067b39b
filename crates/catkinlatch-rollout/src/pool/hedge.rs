//! Second runs for the last samples of a group.

use super::{Place, Pool, Task};
use catkinlatch_base::{Instant, SampleId};
use std::time::Duration;

/// How many samples of a group may be missing for a second run to be worth a slot.
const LAST_OF_GROUP: usize = 2;

/// How long a run may produce nothing before it counts as stalled.
const STALL: Duration = Duration::from_secs(2);

/// A run slower than this share of the usual rate gets a second run.
const SLOW: f64 = 0.5;

impl Pool {
    /// Starts a second run of a sample that holds up its group, for a slot that is spare.
    ///
    /// The second run goes on from the tokens of the first: a run from the start would finish first
    /// where its answer happens to be short, and so favour short answers.
    pub fn hedge(&mut self, now: Instant) -> Option<Task> {
        let usual = self.usual_rate(now);
        let place = self
            .running
            .values()
            .filter(|place| self.holds_up(**place, usual, now))
            .min_by_key(|place| (place.number, place.index))
            .copied()?;
        Some(self.start(place, now))
    }

    /// Returns the runs that stall, so that a caller may move them where engines can resume.
    pub fn stalled(&self, now: Instant) -> Vec<SampleId> {
        let stalls = |id: &&SampleId| {
            let place = self.running[*id];
            let slot = &self.groups[&place.number].slots[place.index];
            let run = slot.runs.iter().find(|run| run.sample == **id);
            run.is_some_and(|run| now.saturating_duration_since(run.progressed) > STALL)
        };
        self.running.keys().filter(stalls).cloned().collect()
    }

    /// Returns whether a sample's only run is slow and the sample is one of the last of its group.
    fn holds_up(&self, place: Place, usual: f64, now: Instant) -> bool {
        let slots = &self.groups[&place.number].slots;
        let missing = slots.iter().filter(|slot| slot.done.is_none()).count();
        let [run] = slots[place.index].runs.as_slice() else { return false };
        let stalled = now.saturating_duration_since(run.progressed) > STALL;
        let old = now.saturating_duration_since(run.started) > STALL;
        missing <= LAST_OF_GROUP && (stalled || old && run.rate(now) < SLOW * usual)
    }

    /// Returns the median rate of all runs, in tokens a second.
    fn usual_rate(&self, now: Instant) -> f64 {
        let slots = self.groups.values().flat_map(|entry| &entry.slots);
        let mut rates: Vec<f64> =
            slots.flat_map(|slot| &slot.runs).map(|run| run.rate(now)).collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or_default()
    }
}
