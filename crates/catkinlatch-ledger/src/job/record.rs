//! A batch job with its results.

use super::{Advance, Job, Outcome, Progress};
use catkinlatch_base::derive_value;
use std::{collections::BTreeMap, sync::Arc};

derive_value! {
    /// A batch job with its results and the progress of its unfinished items.
    pub struct Record {
        /// The job as it was accepted.
        pub job: Arc<Job>,
        /// The results, in the order in which they were committed. Append-only: a result keeps its
        /// position.
        pub results: Vec<Arc<Outcome>>,
        /// Whether the owner ended the job early.
        pub is_ended: bool,
        /// Whether an item has a result, by the item's position.
        finished: Vec<bool>,
        /// The recorded progress of long-running items without a result, by the item's position.
        progress: BTreeMap<u32, Progress>,
    }
}

impl Record {
    /// Creates the record of a job that has no results yet.
    pub fn new(job: Arc<Job>) -> Self {
        let finished = vec![false; job.items.len()];
        Self { job, results: Vec::new(), is_ended: false, finished, progress: BTreeMap::new() }
    }

    /// Appends a result, and returns whether it did: not if the item already has a result or does
    /// not exist.
    pub fn finish(&mut self, outcome: &Arc<Outcome>) -> bool {
        match self.finished.get_mut(outcome.item as usize) {
            Some(finished) if !*finished => {
                *finished = true;
                self.progress.remove(&outcome.item);
                self.results.push(outcome.clone());
                true
            }
            _ => false,
        }
    }

    /// Records progress of an item, and returns whether it did: not if the job or the item has
    /// ended, or if the increment does not follow the recorded progress.
    pub fn advance(&mut self, advance: &Advance) -> bool {
        let is_open = !self.is_ended && self.finished.get(advance.item as usize) == Some(&false);
        let progress = self.progress.entry(advance.item);
        is_open && progress.or_default().advance(advance.after, &advance.progress)
    }

    /// Ends the job early. Its results are kept, the progress of other items is dropped.
    pub fn end(&mut self) {
        self.is_ended = true;
        self.progress.clear();
    }

    /// Returns the recorded progress of an item without a result, if any was recorded.
    pub fn progress(&self, item: usize) -> Option<&Progress> {
        self.progress.get(&(item as u32))
    }

    /// Returns whether the item at a position has a result.
    pub fn is_finished(&self, item: usize) -> bool {
        self.finished.get(item).copied().unwrap_or_default()
    }

    /// Returns about how many bytes the record takes.
    pub fn bytes(&self) -> usize {
        let results: usize = self.results.iter().map(|outcome| outcome.bytes()).sum();
        let progress: usize = self.progress.values().map(Progress::bytes).sum();
        self.job.bytes() + results + progress
    }

    /// Returns whether no items are left to run.
    pub fn is_done(&self) -> bool {
        self.is_ended || self.results.len() == self.job.items.len()
    }

    /// Returns the positions of the items that are still to be run.
    pub fn open_items(&self) -> impl Iterator<Item = usize> + '_ {
        let is_open = !self.is_ended;
        (0..self.finished.len()).filter(move |item| is_open && !self.finished[*item])
    }
}
