//! The samples of one trainer, from the group that asked for them to the batch that holds them.

mod group;
mod hedge;
mod make_up;
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

/// A group and its places.
#[derive(Clone, Debug)]
struct Entry {
    group: Group,
    slots: Vec<Slot>,
}

/// Where a run belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    number: GroupNumber,
    index: usize,
}

/// The samples of one trainer under one epoch of its coordinator.
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
    running: BTreeMap<SampleId, Place>,
    lengths: Lengths,
}

impl Pool {
    /// Creates an empty pool.
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

    /// Sets how many samples a batch holds at least.
    pub fn with_batch_samples(self, batch_samples: u32) -> Self {
        Self { batch_samples, ..self }
    }

    /// Sets how many samples beyond the next batch may be under way.
    pub fn with_ahead_samples(self, ahead_samples: u32) -> Self {
        Self { ahead_samples, ..self }
    }

    /// Sets the order in which samples run and groups are delivered.
    pub fn with_order(self, order: Order) -> Self {
        Self { order, ..self }
    }

    /// Changes how many samples a batch holds at least.
    pub fn configure(&mut self, batch_samples: u32) {
        self.batch_samples = batch_samples;
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Adds a group under the number that was committed, and returns whether it is new.
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

    /// Puts back a sample that another coordinator completed, and returns whether it was missing.
    pub fn restore(&mut self, sample: Sample) -> bool {
        let old = sample.evidence.oldest().is_none_or(|oldest| oldest < self.floor);
        let entry = self.groups.get_mut(&sample.task.number);
        let slot = entry.and_then(|entry| entry.slots.get_mut(sample.task.index as usize));
        let Some(slot) = slot.filter(|slot| !old && slot.is_waiting()) else { return false };
        slot.done = Some(sample);
        true
    }

    /// Returns the numbers of the groups that it holds.
    pub fn numbers(&self) -> impl Iterator<Item = GroupNumber> {
        self.groups.keys().copied()
    }

    /// Returns the groups and their numbers.
    pub fn groups(&self) -> impl Iterator<Item = (GroupNumber, &Group)> {
        self.groups.iter().map(|(number, entry)| (*number, &entry.group))
    }

    /// Returns the samples that are complete.
    pub fn finished(&self) -> impl Iterator<Item = &Sample> {
        self.groups.values().flat_map(|entry| &entry.slots).filter_map(|slot| slot.done.as_ref())
    }

    /// Returns how many runs are under way.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Records tokens of a run, and returns whether it is to go on.
    pub fn progress(&mut self, id: &SampleId, text: &str, span: Span, now: Instant) -> bool {
        let Some(place) = self.running.get(id).copied() else { return false };
        let floor = self.floor;
        let Some(slot) = self.slot_mut(place) else { return false };
        let Some(run) = slot.runs.iter_mut().find(|run| run.sample == *id) else { return false };
        run.produced.text.push_str(text);
        evidence::push(&mut run.produced.spans, span);
        run.progressed = now;
        if run.oldest() >= Some(floor) {
            return true;
        }
        self.expire_slot(place);
        false
    }

    /// Records the answer to a run; a late twin and an answer without evidence are dropped.
    ///
    /// `text` is what this run generated.
    pub fn finish(&mut self, id: &SampleId, text: &str, report: &Report) -> Outcome {
        let Some(place) = self.running.get(id).copied() else { return Outcome::Unknown };
        let (newest, floor) = (self.newest, self.floor);
        let task = self.task(place, id);
        let earlier = task.partial.clone().unwrap_or_default();
        let evidence = match Evidence::new(&earlier.spans, report, newest) {
            Ok(evidence) => evidence,
            Err(fault) => {
                self.discard(id);
                return Outcome::Unproven(fault);
            }
        };
        if evidence.oldest().is_none_or(|oldest| oldest < floor) {
            self.discard(id);
            return Outcome::TooOld;
        }
        self.learn(&task, evidence.completion_tokens);
        let text = format!("{}{text}", earlier.text);
        let Some(slot) = self.slot_mut(place) else { return Outcome::Unknown };
        invariant!(
            "each sample is delivered once",
            slot.done.is_none(),
            "{id} is complete a second time"
        );
        slot.done = Some(Sample { task, text, evidence });
        let ended: Vec<SampleId> = slot.runs.drain(..).map(|run| run.sample).collect();
        for run in &ended {
            self.running.remove(run);
        }
        Outcome::Kept { cancel: ended.into_iter().filter(|run| run != id).collect() }
    }

    /// Ends a run that failed or was taken off its engine; its tokens are kept for the next run.
    pub fn fail(&mut self, id: &SampleId) {
        let Some(place) = self.running.remove(id) else { return };
        if let Some(slot) = self.slot_mut(place) {
            slot.end(id);
        }
    }

    /// Ends a run whose tokens are not to be used.
    pub fn discard(&mut self, id: &SampleId) {
        let Some(place) = self.running.remove(id) else { return };
        if let Some(slot) = self.slot_mut(place) {
            slot.runs.retain(|run| run.sample != *id);
        }
    }

    /// Takes note of the newest version, gives up what is older than the bound allows, and returns
    /// the runs to cancel.
    pub fn publish(&mut self, newest: Version, max_age_versions: u64) -> Vec<SampleId> {
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
        let gone = |_: &SampleId, place: &mut Place| numbers.contains(&place.number);
        self.running.extract_if(.., gone).map(|(id, _)| id).collect()
    }

    /// Gives up a sample that was rejected, so that it runs again.
    pub fn redo(&mut self, number: GroupNumber, index: u32) {
        let slot = self.slot_mut(Place { number, index: index as usize });
        if let Some(slot) = slot {
            slot.done = None;
        }
    }

    fn start(&mut self, place: Place, now: Instant) -> Task {
        let entry = self.groups.get_mut(&place.number).expect("the place was found in this pool");
        let slot = &mut entry.slots[place.index];
        let index = u32::try_from(place.index).unwrap_or(u32::MAX);
        let sample = task::sample_id(&self.trainer, place.number, index, self.epoch, slot.attempts);
        slot.attempts += 1;
        let furthest = slot.runs.iter().map(Run::partial).max_by_key(Partial::tokens);
        let earlier = slot.partial.take().or(furthest).unwrap_or_default();
        slot.runs.push(Run {
            sample: sample.clone(),
            started: now,
            earlier,
            produced: Partial::default(),
            progressed: now,
        });
        self.running.insert(sample.clone(), place);
        self.task(place, &sample)
    }

    /// Describes a run under way.
    fn task(&self, place: Place, id: &SampleId) -> Task {
        let entry = &self.groups[&place.number];
        let slot = &entry.slots[place.index];
        let run = slot.runs.iter().find(|run| run.sample == *id);
        let partial = run.map(|run| run.earlier.clone()).filter(|partial| partial.tokens() > 0);
        let attempt = id.as_str().rsplit('.').next().and_then(|text| text.parse().ok());
        Task {
            sample: id.clone(),
            group: entry.group.id.clone(),
            number: place.number,
            index: u32::try_from(place.index).unwrap_or(u32::MAX),
            epoch: self.epoch,
            attempt: attempt.unwrap_or_default(),
            prompt: entry.group.prompts[place.index].clone(),
            max_tokens: entry.group.max_tokens,
            partial,
        }
    }

    /// Learns from the length of a sample what its siblings may have.
    fn learn(&mut self, task: &Task, tokens: Tokens) {
        self.lengths.observe(&task.prompt, tokens);
        let Some(entry) = self.groups.get_mut(&task.number) else { return };
        for (slot, prompt) in entry.slots.iter_mut().zip(&entry.group.prompts) {
            if *prompt == task.prompt {
                slot.estimate = self.lengths.estimate(prompt, task.max_tokens);
            }
        }
    }

    fn expire_slot(&mut self, place: Place) {
        let floor = self.floor;
        let Some(slot) = self.slot_mut(place) else { return };
        for id in slot.expire(floor) {
            self.running.remove(&id);
        }
    }

    fn slot_mut(&mut self, place: Place) -> Option<&mut Slot> {
        self.groups.get_mut(&place.number)?.slots.get_mut(place.index)
    }
}
