//! A batch job with what became of it.

use super::{Advance, Job, Outcome, Progress};
use catkinlatch_base::derive_value;
use std::{collections::BTreeMap, sync::Arc};

derive_value! {
    /// A batch job with what became of it.
    pub struct Record {
        /// The job.
        pub job: Arc<Job>,
        /// The results, in the order in which they came; none changes its position.
        pub results: Vec<Arc<Outcome>>,
        /// Whether the job was ended by its owner.
        pub is_ended: bool,
        /// Which items have a result, by position.
        finished: Vec<bool>,
        /// How far long items without a result have come, by position.
        progress: BTreeMap<u32, Progress>,
    }
}

impl Record {
    /// Creates the record of a job without results.
    pub fn new(job: Arc<Job>) -> Self {
        let finished = vec![false; job.items.len()];
        Self { job, results: Vec::new(), is_ended: false, finished, progress: BTreeMap::new() }
    }

    /// Appends a result, unless its item has one or does not exist.
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

    /// Records how far an item has come; one that has ended stays as it is.
    pub fn advance(&mut self, advance: &Advance) -> bool {
        let is_open = !self.is_ended && self.finished.get(advance.item as usize) == Some(&false);
        let progress = self.progress.entry(advance.item);
        is_open && progress.or_default().advance(advance.after, &advance.progress)
    }

    /// Ends the job; its results stay.
    pub fn end(&mut self) {
        self.is_ended = true;
        self.progress.clear();
    }

    /// Returns how far an item without a result had come when that was recorded.
    pub fn progress(&self, item: usize) -> Option<&Progress> {
        self.progress.get(&(item as u32))
    }

    /// Returns whether an item has a result.
    pub fn is_finished(&self, item: usize) -> bool {
        self.finished.get(item).copied().unwrap_or_default()
    }

    /// Returns whether nothing is left to run.
    pub fn is_done(&self) -> bool {
        self.is_ended || self.results.len() == self.job.items.len()
    }

    /// Returns the positions of the items that are to be run.
    pub fn open_items(&self) -> impl Iterator<Item = usize> + '_ {
        let is_open = !self.is_ended;
        (0..self.finished.len()).filter(move |item| is_open && !self.finished[*item])
    }
}
