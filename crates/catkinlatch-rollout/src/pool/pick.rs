//! Selection of the next run.

use super::{Order, Pool, Position, Task};
use catkinlatch_base::{GroupNumber, Instant, SampleId};
use std::cmp::Reverse;

impl Pool {
    /// Returns whether a sample is waiting to run.
    pub fn has_waiting(&self) -> bool {
        self.waiting().next().is_some()
    }

    /// Starts the next waiting sample, and returns its task.
    ///
    /// Samples of the next batch come first; among them, with [`Order::LongestFirst`], those with
    /// the most expected tokens left. Later groups are filled one after the other, so that few are
    /// incomplete when their samples become too old.
    pub fn next_task(&mut self, now: Instant) -> Option<Task> {
        let position = self.next_position(true)?;
        Some(self.start(position, now))
    }

    /// Starts the next run: a sample of the next batch, else a second run of a sample that delays
    /// its group, else a sample beyond the next batch.
    pub fn next_run(&mut self, now: Instant) -> Option<Task> {
        match self.next_position(false) {
            Some(position) => Some(self.start(position, now)),
            None => self.hedge(now).or_else(|| self.next_task(now)),
        }
    }

    /// Returns the next position to fill; positions beyond the next batch count only if `ahead`.
    fn next_position(&self, ahead: bool) -> Option<Position> {
        let mut waiting = self.waiting().filter(|(in_next_batch, _)| *in_next_batch || ahead);
        match self.order {
            Order::Arrival => waiting.next().map(|(_, position)| position),
            Order::LongestFirst => {
                waiting.min_by_key(|key| self.priority(key)).map(|(_, position)| position)
            }
        }
    }

    /// Returns the sort key of a position; the most urgent position has the lowest.
    fn priority(
        &self,
        (in_next_batch, position): &(bool, Position),
    ) -> (GroupNumber, Reverse<u64>, Position) {
        let remaining_tokens = self.groups[&position.number].slots[position.index].remaining();
        let number = if *in_next_batch { GroupNumber::default() } else { position.number.next() };
        (number, Reverse(remaining_tokens.round() as u64), *position)
    }

    /// Returns the positions to fill, and whether each belongs to the next batch.
    fn waiting(&self) -> impl Iterator<Item = (bool, Position)> {
        let batch_size = self.batch_samples;
        let max_samples = batch_size.saturating_add(self.ahead_samples);
        let preceding = self.groups.iter().scan(0_u32, |sum, (number, entry)| {
            let preceding = *sum;
            *sum = sum.saturating_add(u32::try_from(entry.slots.len()).unwrap_or(u32::MAX));
            Some((preceding, *number, entry))
        });
        preceding.take_while(move |(preceding, ..)| *preceding < max_samples).flat_map(
            move |(preceding, number, entry)| {
                let waiting = entry.slots.iter().enumerate().filter(|(_, slot)| slot.is_waiting());
                waiting.map(move |(index, _)| (preceding < batch_size, Position { number, index }))
            },
        )
    }

    /// Returns how many engine slots the pool can use, for runs in progress and waiting samples.
    pub fn slot_demand(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting().count()).unwrap_or(u32::MAX)
    }

    /// Ends the runs in excess of `slots`, those with the fewest tokens first, and returns them.
    ///
    /// Their tokens are kept for the next runs.
    pub fn yield_slots(&mut self, slots: usize) -> Vec<SampleId> {
        let excess = self.running.len().saturating_sub(slots);
        if excess == 0 {
            return Vec::new();
        }
        let mut runs: Vec<(u64, SampleId)> = self
            .running
            .iter()
            .map(|(id, position)| (self.tokens(*position, id), id.clone()))
            .collect();
        runs.sort();
        let ended: Vec<SampleId> = runs.into_iter().take(excess).map(|(_, id)| id).collect();
        for id in &ended {
            self.fail(id);
        }
        ended
    }

    /// Returns how many tokens a run has generated, without those of earlier runs.
    fn tokens(&self, position: Position, id: &SampleId) -> u64 {
        let runs = &self.groups[&position.number].slots[position.index].runs;
        runs.iter().find(|run| run.sample == *id).map_or(0, |run| run.produced.tokens())
    }
}
