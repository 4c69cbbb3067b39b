//! The samples of one trainer, from the posted group of prompts to the delivered batch.

mod batch;
mod group;
mod hedge;
mod order;
mod outcome;
mod pick;
mod sample;
mod slot;
mod task;

pub use self::{
    group::Group,
    order::Order,
    outcome::Outcome,
    sample::Sample,
    task::{Partial, Task},
};

use self::slot::{Run, Slot};
use crate::{
    Evidence, Lengths,
    evidence::{self, Report, Span},
};
use catkinlatch_base::{
    Epoch, GroupNumber, Instant, SampleId, Tokens, TrainerId, Version, invariant,
};
use std::collections::{BTreeMap, BTreeSet};

/// A group and its slots, one per prompt.
#[derive(Clone, Debug)]
struct Entry {
    group: Group,
    slots: Vec<Slot>,
}

/// Position of a sample: the number of its group, and its index in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    number: GroupNumber,
    index: usize,
}

/// The samples of one trainer, as scheduled under one epoch of its coordinator.
///
/// ```
/// use catkinlatch_base::{Epoch, GroupNumber, Instant};
/// use catkinlatch_rollout::{Pool, pool::Group};
///
/// let trainer = "defects".parse().expect("the id is valid");
/// let mut pool = Pool::new(trainer, Epoch::new(1)).with_batch_samples(1);
/// let id = "group-1".parse().expect("the id is valid");
/// let group = Group { id, prompts: vec!["describe the crack".to_owned()], max_tokens: 64 };
/// pool.add(GroupNumber::new(0), group);
/// let task = pool.next_task(Instant::ZERO).expect("one sample is to be run");
/// assert_eq!(task.sample.as_str(), "defects/0.0.1.0");
/// ```
#[derive(Clone, Debug)]
pub struct Pool {
    trainer: TrainerId,
    epoch: Epoch,
    batch_samples: u32,
    ahead_samples: u32,
    order: Order,
    newest: Version,
    floor: Version,
    groups: BTreeMap<GroupNumber, Entry>,
    running: BTreeMap<SampleId, Position>,
    lengths: Lengths,
}

impl Pool {
    /// Creates an empty pool.
    ///
    /// Batches hold at least one sample, any number of samples beyond the next batch may be
    /// started, and the order is [`Order::LongestFirst`].
    pub fn new(trainer: TrainerId, epoch: Epoch) -> Self {
        Self {
            trainer,
            epoch,
            batch_samples: 1,
            ahead_samples: u32::MAX,
            order: Order::LongestFirst,
            newest: Version::default(),
            floor: Version::default(),
            groups: BTreeMap::new(),
            running: BTreeMap::new(),
            lengths: Lengths::default(),
        }
    }

    /// Sets the minimum number of samples in a batch.
    pub fn with_batch_samples(self, batch_samples: u32) -> Self {
        Self { batch_samples, ..self }
    }

    /// Sets how many samples beyond the next batch may be started.
    pub fn with_ahead_samples(self, ahead_samples: u32) -> Self {
        Self { ahead_samples, ..self }
    }

    /// Sets the order in which samples run and groups are delivered.
    pub fn with_order(self, order: Order) -> Self {
        Self { order, ..self }
    }

    /// Changes the minimum number of samples in a batch.
    pub fn set_batch_samples(&mut self, batch_samples: u32) {
        self.batch_samples = batch_samples;
    }

    /// Returns the coordinator's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Adds a group under its committed number, and returns whether the number is new to the pool.
    pub fn add(&mut self, number: GroupNumber, group: Group) -> bool {
        if self.groups.contains_key(&number) {
            return false;
        }
        let estimate = |prompt: &String| self.lengths.estimate(prompt, group.max_tokens);
        let slot = |prompt| Slot { estimate: estimate(prompt), ..Slot::default() };
        let slots = group.prompts.iter().map(slot).collect();
        self.groups.insert(number, Entry { group, slots });
        true
    }

    /// Restores a sample that another coordinator completed.
    ///
    /// Returns `false`, and ignores the sample, if it is too old, its group is unknown, or its slot
    /// is already running or complete.
    pub fn restore(&mut self, sample: Sample) -> bool {
        let old = sample.evidence.oldest().is_none_or(|oldest| oldest < self.floor);
        let entry = self.groups.get_mut(&sample.task.number);
        let slot = entry.and_then(|entry| entry.slots.get_mut(sample.task.index as usize));
        let Some(slot) = slot.filter(|slot| !old && slot.is_waiting()) else { return false };
        slot.completed = Some(sample);
        true
    }

    /// Returns the numbers of the groups in the pool.
    pub fn numbers(&self) -> impl Iterator<Item = GroupNumber> {
        self.groups.keys().copied()
    }

    /// Returns the groups in the pool and their numbers.
    pub fn groups(&self) -> impl Iterator<Item = (GroupNumber, &Group)> {
        self.groups.iter().map(|(number, entry)| (*number, &entry.group))
    }

    /// Returns the completed samples that are not delivered yet.
    pub fn finished(&self) -> impl Iterator<Item = &Sample> {
        self.groups
            .values()
            .flat_map(|entry| &entry.slots)
            .filter_map(|slot| slot.completed.as_ref())
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Records tokens that a run generated; returns whether the run is to continue.
    ///
    /// A run with tokens older than the version bound is dropped.
    pub fn progress(&mut self, id: &SampleId, text: &str, span: Span, now: Instant) -> bool {
        let Some(position) = self.running.get(id).copied() else { return false };
        let floor = self.floor;
        let Some(slot) = self.slot_mut(position) else { return false };
        let Some(run) = slot.runs.iter_mut().find(|run| run.sample == *id) else { return false };
        run.produced.text.push_str(text);
        evidence::push(&mut run.produced.spans, span);
        run.progressed = now;
        if run.oldest() >= Some(floor) {
            return true;
        }
        self.expire_slot(position);
        false
    }

    /// Records the answer to a run.
    ///
    /// The answer is dropped if another run completed the sample first, if `report` is not valid
    /// evidence, or if a token is older than the version bound. `text` holds only what this run
    /// generated, without the tokens of earlier runs.
    pub fn finish(&mut self, id: &SampleId, text: &str, report: &Report) -> Outcome {
        let Some(position) = self.running.get(id).copied() else { return Outcome::Unknown };
        let (newest, floor) = (self.newest, self.floor);
        let task = self.task(position, id);
        let prefix = task.partial.clone().unwrap_or_default();
        let evidence = match Evidence::new(&prefix.spans, report, newest) {
            Ok(evidence) => evidence,
            Err(fault) => {
                self.discard(id);
                return Outcome::NoEvidence(fault);
            }
        };
        if evidence.oldest().is_none_or(|oldest| oldest < floor) {
            self.discard(id);
            return Outcome::TooOld;
        }
        self.update_estimates(&task, evidence.completion_tokens);
        let text = format!("{}{text}", prefix.text);
        let Some(slot) = self.slot_mut(position) else { return Outcome::Unknown };
        invariant!(
            "each sample is delivered once",
            slot.completed.is_none(),
            "sample {id} was completed a second time"
        );
        slot.completed = Some(Sample { task, text, evidence });
        let ended: Vec<SampleId> = slot.runs.drain(..).map(|run| run.sample).collect();
        for run in &ended {
            self.running.remove(run);
        }
        Outcome::Kept { cancel: ended.into_iter().filter(|run| run != id).collect() }
    }

    /// Ends a run that failed or was preempted; its tokens are kept for the next run.
    pub fn fail(&mut self, id: &SampleId) {
        let Some(position) = self.running.remove(id) else { return };
        if let Some(slot) = self.slot_mut(position) {
            slot.end_run(id);
        }
    }

    /// Ends a run and discards its tokens.
    pub fn discard(&mut self, id: &SampleId) {
        let Some(position) = self.running.remove(id) else { return };
        if let Some(slot) = self.slot_mut(position) {
            slot.runs.retain(|run| run.sample != *id);
        }
    }

    /// Records the newest published version, drops work that is more than `max_age_versions` older,
    /// and returns the runs to cancel.
    pub fn set_newest_version(&mut self, newest: Version, max_age_versions: u64) -> Vec<SampleId> {
        self.newest = self.newest.max(newest);
        self.floor = Version::new(self.newest.get().saturating_sub(max_age_versions));
        let floor = self.floor;
        let slots = self.groups.values_mut().flat_map(|entry| &mut entry.slots);
        let cancel: Vec<SampleId> = slots.flat_map(|slot| slot.expire(floor)).collect();
        for id in &cancel {
            self.running.remove(id);
        }
        cancel
    }

    /// Removes groups that were committed to a batch, and returns the runs to cancel.
    pub fn remove(&mut self, numbers: &BTreeSet<GroupNumber>) -> Vec<SampleId> {
        self.groups.retain(|number, _| !numbers.contains(number));
        let is_removed = |_: &SampleId, position: &mut Position| numbers.contains(&position.number);
        self.running.extract_if(.., is_removed).map(|(id, _)| id).collect()
    }

    /// Discards a completed sample that was rejected, so that it runs again.
    pub fn discard_sample(&mut self, number: GroupNumber, index: u32) {
        let slot = self.slot_mut(Position { number, index: index as usize });
        if let Some(slot) = slot {
            slot.completed = None;
        }
    }

    fn start(&mut self, position: Position, now: Instant) -> Task {
        let entry =
            self.groups.get_mut(&position.number).expect("the position belongs to this pool");
        let slot = &mut entry.slots[position.index];
        let index = u32::try_from(position.index).unwrap_or(u32::MAX);
        let sample =
            task::sample_id(&self.trainer, position.number, index, self.epoch, slot.attempts);
        slot.attempts += 1;
        let longest = slot.runs.iter().map(Run::partial).max_by_key(Partial::tokens);
        let prefix = slot.partial.take().or(longest).unwrap_or_default();
        slot.runs.push(Run {
            sample: sample.clone(),
            started: now,
            prefix,
            produced: Partial::default(),
            progressed: now,
        });
        self.running.insert(sample.clone(), position);
        self.task(position, &sample)
    }

    /// Returns the task of a run in progress.
    fn task(&self, position: Position, id: &SampleId) -> Task {
        let entry = &self.groups[&position.number];
        let slot = &entry.slots[position.index];
        let run = slot.runs.iter().find(|run| run.sample == *id);
        let partial = run.map(|run| run.prefix.clone()).filter(|partial| partial.tokens() > 0);
        let attempt = id.as_str().rsplit('.').next().and_then(|text| text.parse().ok());
        Task {
            sample: id.clone(),
            group: entry.group.id.clone(),
            number: position.number,
            index: u32::try_from(position.index).unwrap_or(u32::MAX),
            epoch: self.epoch,
            attempt: attempt.unwrap_or_default(),
            prompt: entry.group.prompts[position.index].clone(),
            max_tokens: entry.group.max_tokens,
            partial,
        }
    }

    /// Updates the length estimates of samples with the same prompt in the same group.
    fn update_estimates(&mut self, task: &Task, tokens: Tokens) {
        self.lengths.observe(&task.prompt, tokens);
        let Some(entry) = self.groups.get_mut(&task.number) else { return };
        for (slot, prompt) in entry.slots.iter_mut().zip(&entry.group.prompts) {
            if *prompt == task.prompt {
                slot.estimate = self.lengths.estimate(prompt, task.max_tokens);
            }
        }
    }

    fn expire_slot(&mut self, position: Position) {
        let floor = self.floor;
        let Some(slot) = self.slot_mut(position) else { return };
        for id in slot.expire(floor) {
            self.running.remove(&id);
        }
    }

    fn slot_mut(&mut self, position: Position) -> Option<&mut Slot> {
        self.groups.get_mut(&position.number)?.slots.get_mut(position.index)
    }
}
