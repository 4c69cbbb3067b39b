//! The samples of one trainer, from the group that asked for them to the batch that holds them.

mod group;
mod sample;

pub use self::{
    group::Group,
    sample::{Evidence, Sample, Task},
};

use catkinlatch_base::{GroupId, SampleId, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The samples of one trainer.
///
/// ```
/// use catkinlatch_rollout::Pool;
///
/// let mut pool = Pool::new();
/// assert!(pool.next_task().is_none());
/// ```
#[derive(Debug, Default)]
pub struct Pool {
    groups: BTreeSet<GroupId>,
    waiting: VecDeque<Task>,
    running: BTreeMap<SampleId, Task>,
    finished: VecDeque<Sample>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a group and returns whether it is new.
    pub fn add(&mut self, group: &Group) -> bool {
        if !self.groups.insert(group.id.clone()) {
            return false;
        }
        self.waiting.extend(group.tasks());
        true
    }

    /// Takes the next sample to run.
    pub fn next_task(&mut self) -> Option<Task> {
        let task = self.waiting.pop_front()?;
        self.running.insert(task.sample.clone(), task.clone());
        Some(task)
    }

    /// Records a sample that an engine completed; a late twin is ignored.
    pub fn finish(&mut self, id: &SampleId, text: String, evidence: Evidence) {
        let Some(task) = self.running.remove(id) else { return };
        if evidence.versions.is_empty() {
            self.waiting.push_front(task);
            return;
        }
        self.finished.push_back(Sample { task, text, evidence });
    }

    /// Puts a sample back that failed.
    pub fn fail(&mut self, id: &SampleId) {
        if let Some(task) = self.running.remove(id) {
            self.waiting.push_front(task);
        }
    }

    /// Puts samples back that are older than `floor`, so that they run again.
    pub fn expire(&mut self, floor: Version) {
        let (fresh, old) =
            self.finished.drain(..).partition(|sample| sample.evidence.oldest() >= Some(floor));
        self.finished = fresh;
        let old: VecDeque<Sample> = old;
        self.waiting.extend(old.into_iter().map(|sample| sample.task.again()));
    }

    /// Returns the first `count` finished samples without taking them.
    pub fn peek(&self, count: usize) -> Option<Vec<Sample>> {
        if self.finished.len() < count {
            return None;
        }
        Some(self.finished.iter().take(count).cloned().collect())
    }

    /// Removes samples that were committed to a batch.
    pub fn take(&mut self, ids: &BTreeSet<SampleId>) {
        self.finished.retain(|sample| !ids.contains(&sample.task.sample));
    }
}
