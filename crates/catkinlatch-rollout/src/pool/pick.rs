//! The order in which samples are run.

use super::{Order, Partial, Place, Pool, Task};
use catkinlatch_base::{Instant, SampleId};
use std::cmp::Reverse;

impl Pool {
    /// Returns whether a sample is to be run.
    pub fn has_waiting(&self) -> bool {
        self.waiting().next().is_some()
    }

    /// Takes the next sample to run: those of the next batch first, and the longest of them.
    pub fn next_task(&mut self, now: Instant) -> Option<Task> {
        let place = match self.order {
            Order::Arrival => self.waiting().next()?.1,
            Order::LongestFirst => self.longest()?,
        };
        Some(self.start(place, now))
    }

    /// Returns the place to fill that is expected to take longest, of the next batch if there is any.
    fn longest(&self) -> Option<Place> {
        let key = |(due, place): &(bool, Place)| {
            let rest = self.remaining(*place).round() as u64;
            (!due, Reverse(rest), place.number, place.index)
        };
        self.waiting().min_by_key(key).map(|(_, place)| place)
    }

    /// Returns the places to fill, and whether each belongs to the next batch.
    fn waiting(&self) -> impl Iterator<Item = (bool, Place)> {
        let due = self.batch_samples;
        let most = due.saturating_add(self.ahead_samples);
        let before = self.groups.iter().scan(0_u32, |sum, (number, entry)| {
            let before = *sum;
            *sum = sum.saturating_add(u32::try_from(entry.slots.len()).unwrap_or(u32::MAX));
            Some((before, *number, entry))
        });
        before.take_while(move |(before, ..)| *before < most).flat_map(
            move |(before, number, entry)| {
                let waiting = entry.slots.iter().enumerate().filter(|(_, slot)| slot.is_waiting());
                waiting.map(move |(index, _)| (before < due, Place { number, index }))
            },
        )
    }

    /// Estimates the tokens that a sample still needs.
    fn remaining(&self, place: Place) -> f64 {
        let Some(entry) = self.groups.get(&place.number) else { return 0.0 };
        let slot = &entry.slots[place.index];
        let estimate =
            self.lengths.estimate(&entry.group.prompts[place.index], entry.group.max_tokens);
        let had = slot.partial.as_ref().map_or(0, Partial::tokens) as f64;
        (estimate - had).max(1.0)
    }

    /// Returns how many slots it has work for: the runs under way and the samples to run.
    pub fn wanted(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting().count()).unwrap_or(u32::MAX)
    }

    /// Ends the runs beyond `slots`, those with the fewest tokens first, and returns them.
    ///
    /// Their tokens are kept for the next runs.
    pub fn yield_slots(&mut self, slots: usize) -> Vec<SampleId> {
        let excess = self.running.len().saturating_sub(slots);
        if excess == 0 {
            return Vec::new();
        }
        let mut runs: Vec<(u64, SampleId)> =
            self.running.iter().map(|(id, place)| (self.tokens(*place, id), id.clone())).collect();
        runs.sort();
        let ended: Vec<SampleId> = runs.into_iter().take(excess).map(|(_, id)| id).collect();
        for id in &ended {
            self.fail(id);
        }
        ended
    }

    /// Returns the tokens that a run has produced.
    fn tokens(&self, place: Place, id: &SampleId) -> u64 {
        let runs = &self.groups[&place.number].slots[place.index].runs;
        runs.iter().find(|run| run.sample == *id).map_or(0, |run| run.produced.tokens())
    }
}
