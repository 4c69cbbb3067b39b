//! The order in which samples are run.

use super::{Order, Place, Pool, Task};
use catkinlatch_base::{GroupNumber, Instant, SampleId};
use std::cmp::Reverse;

impl Pool {
    /// Returns whether a sample is to be run.
    pub fn has_waiting(&self) -> bool {
        self.waiting().next().is_some()
    }

    /// Takes the next sample to run.
    ///
    /// Those of the next batch come first, the longest of them before all. Later groups are filled
    /// one after the other, so that few are incomplete when their samples become too old.
    pub fn next_task(&mut self, now: Instant) -> Option<Task> {
        let place = self.next_place(true)?;
        Some(self.start(place, now))
    }

    /// Takes the next run: a sample of the next batch, a second run for one that holds up its
    /// group, or a sample beyond the next batch, in this order.
    pub fn next_run(&mut self, now: Instant) -> Option<Task> {
        match self.next_place(false) {
            Some(place) => Some(self.start(place, now)),
            None => self.hedge(now).or_else(|| self.next_task(now)),
        }
    }

    /// Returns the next place to fill, of later batches only if `ahead`.
    fn next_place(&self, ahead: bool) -> Option<Place> {
        let mut waiting = self.waiting().filter(|(due, _)| *due || ahead);
        match self.order {
            Order::Arrival => waiting.next().map(|(_, place)| place),
            Order::LongestFirst => waiting.min_by_key(|key| self.urgency(key)).map(|(_, p)| p),
        }
    }

    /// Orders places from the most urgent to the least.
    fn urgency(&self, (due, place): &(bool, Place)) -> (GroupNumber, Reverse<u64>, Place) {
        let rest = self.groups[&place.number].slots[place.index].remaining();
        let number = if *due { GroupNumber::default() } else { place.number.next() };
        (number, Reverse(rest.round() as u64), *place)
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
