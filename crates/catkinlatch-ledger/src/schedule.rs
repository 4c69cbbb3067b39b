//! Which item of which job runs next, and on which engine.
//!
//! The order answers a load of steps that trainers wait for, each with more items than there are
//! free slots: what a trainer still gets in time goes first, then the step that is due first, then
//! groups that an earlier job left unfinished, then the longest outputs, since they end last.

mod engine;
mod placement;
mod run;
mod task;

pub use self::{
    engine::Engine,
    run::{End, Loss, Next},
    task::Task,
};

use self::placement::Placement;
use crate::{
    Job, Outcome, Record,
    job::{self, Progress},
};
use catkinlatch_base::{GroupId, JobId, ModelId, RunId, TargetId, Version};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// How many groups of ended jobs are remembered, to know those that are carried over.
const GROUPS_KEPT: usize = 4096;

/// Jobs that are due within this time of each other go by their priority.
const DUE_BUCKET_MS: u64 = 2_000;

/// From which multiple of its fellows' time an engine loses its items to them.
const SLOW_FACTOR: f64 = 2.0;

/// How long an item stays at an engine at least, in milliseconds: about ten events.
const SHORTEST_STAY_MS: u64 = 300;

/// How long an item must have run to leave an engine that is only somewhat slower than another, in
/// milliseconds: most items end sooner, and the few that do not are waited for.
const LONG_STAY_MS: u64 = 1_000;

/// How many times as long an engine must take as another for a long item to go on there, once: the
/// deployments' slower engines take 1.3 times as long, and full ones 1.2 times as long as idle ones.
const LONG_FACTOR: f64 = 1.25;

/// How often an item is moved at most.
const MOST_MOVES: u32 = 3;

/// Below which multiple of its fellows' time an engine takes items from a slow one.
const FAST_FACTOR: f64 = 1.4;

/// An item and the engine that should run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The job.
    pub job: JobId,
    /// The item's position in the job.
    pub item: usize,
    /// The engine.
    pub engine: TargetId,
    /// Counts the runs of this schedule, so that one that was cut is told from the next.
    pub run: RunId,
}

/// The items that wait or run.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    tasks: BTreeMap<(JobId, usize), Task>,
    known: BTreeSet<JobId>,
    started: BTreeSet<GroupId>,
    last_run: RunId,
}

impl Schedule {
    /// Takes the items of a job that are to be run, once.
    pub fn add(&mut self, record: &Record) {
        let job = &record.job;
        if record.is_done() || !self.known.insert(job.id.clone()) {
            return;
        }
        let mean = mean_tokens(job);
        let groups: BTreeSet<GroupId> =
            job.items.iter().filter_map(|item| item.group.clone()).collect();
        for position in record.open_items() {
            let item = &job.items[position];
            let is_carried = item.group.as_ref().is_some_and(|group| self.started.contains(group));
            let mut task = Task::new(job.clone(), position, is_carried);
            task.is_long = item.expected_tokens > mean;
            if let Some(progress) = record.progress(position) {
                task.resume(progress.clone());
            }
            self.tasks.insert((job.id.clone(), position), task);
        }
        self.started.extend(groups);
        while self.started.len() > GROUPS_KEPT {
            self.started.pop_first();
        }
    }

    /// Takes new jobs, and returns those that it still holds though nothing of them is to be run:
    /// they are done, or were dropped.
    pub fn follow(&mut self, jobs: &BTreeMap<JobId, Record>) -> Vec<JobId> {
        jobs.values().for_each(|record| self.add(record));
        let is_over = |job: &&JobId| jobs.get(*job).is_none_or(Record::is_done);
        self.known.iter().filter(is_over).cloned().collect()
    }

    /// Drops what is left of a job.
    pub fn remove(&mut self, job: &JobId) {
        self.known.remove(job);
        self.tasks.retain(|(other, _), _| other != job);
    }

    /// Returns the next item to run, and marks it as running.
    pub fn next(&mut self, wall_ms: u64, engines: &[Engine]) -> Option<Assignment> {
        self.assign(wall_ms, engines, 1).pop()
    }

    /// Returns the next items to run, no more than `most`, and marks them as running.
    pub fn assign(&mut self, wall_ms: u64, engines: &[Engine], most: usize) -> Vec<Assignment> {
        let mut placement = Placement::new(engines, self.tasks.values());
        let waiting = self.tasks.iter().filter(|(_, task)| task.is_waiting(wall_ms));
        let mut waiting: Vec<_> =
            waiting.map(|(key, task)| (rank(task, wall_ms), key.clone())).collect();
        waiting.sort();
        let mut assignments = Vec::new();
        for (_, key) in waiting {
            if assignments.len() >= most || !placement.has_room() {
                break;
            }
            let Some(task) = self.tasks.get_mut(&key) else { continue };
            let Some(engine) = placement.best(task, wall_ms).map(|engine| engine.id.clone()) else {
                continue;
            };
            placement.put(task, &engine);
            self.last_run = self.last_run.next();
            let run = self.last_run;
            (task.engine, task.run, task.began_ms) = (Some(engine.clone()), Some(run), wall_ms);
            assignments.push(Assignment { job: key.0, item: key.1, engine, run });
        }
        assignments
    }

    /// Returns the items that should go on at a faster engine which has a free slot: those whose
    /// engine takes far longer than its fellows, and those that have run for long at one that takes
    /// somewhat longer; longest expected first.
    ///
    /// Reading a prompt again takes an engine a few milliseconds, so that a move costs little.
    pub fn stragglers(&self, wall_ms: u64, engines: &[Engine]) -> Vec<(JobId, usize)> {
        let load = self.load();
        let running = |engine: &Engine| load.get(&engine.id).copied().unwrap_or_default();
        let mut free: BTreeMap<&TargetId, u32> = engines
            .iter()
            .map(|engine| (&engine.id, engine.slots.saturating_sub(running(engine))))
            .collect();
        let slowness: BTreeMap<&TargetId, f64> =
            engines.iter().map(|engine| (&engine.id, engine.slowness)).collect();
        let mut tasks: Vec<(&Task, f64)> = self
            .tasks
            .values()
            .filter_map(|task| Some((task, most_slowness(task, wall_ms, &slowness)?)))
            .collect();
        tasks.sort_by_key(|(task, _)| Reverse(task.expected_tokens()));
        let mut stragglers = Vec::new();
        for (task, most) in tasks {
            let faster = engines.iter().filter(|engine| {
                engine.slowness <= most
                    && free.get(&engine.id).is_some_and(|free| *free > 0)
                    && engine.service == task.job.service
                    && task.accepts(engine.version(task.job.model.as_ref()))
            });
            if let Some(engine) = faster.min_by(|a, b| a.slowness.total_cmp(&b.slowness)) {
                *free.entry(&engine.id).or_default() -= 1;
                stragglers.push((task.job.id.clone(), task.item));
            }
        }
        stragglers
    }

    /// Returns a task that waits or runs.
    pub fn task(&self, job: &JobId, item: usize) -> Option<&Task> {
        self.tasks.get(&(job.clone(), item))
    }

    /// Returns a task that waits or runs.
    pub fn task_mut(&mut self, job: &JobId, item: usize) -> Option<&mut Task> {
        self.tasks.get_mut(&(job.clone(), item))
    }

    /// Takes the end of a run with what its item has generated, and decides what follows.
    pub fn end(
        &mut self,
        job: &JobId,
        item: usize,
        run: RunId,
        end: End,
        progress: Progress,
        wall_ms: u64,
    ) -> Next {
        match self.task_mut(job, item).filter(|task| task.run == Some(run)) {
            Some(task) => task.end(end, progress, wall_ms),
            None => Next::Nothing,
        }
    }

    /// Takes the signature of an item's scoring call, if there was one to make; returns the result
    /// to list.
    pub fn complete(&mut self, job: &JobId, item: usize, score: Option<String>) -> Option<Outcome> {
        self.task(job, item).filter(|task| task.is_generated)?;
        let task = self.tasks.remove(&(job.clone(), item))?;
        let Progress { text, versions, .. } = task.progress;
        let (text, versions) = (text.join("\n"), versions.into_iter().collect());
        Some(Outcome { item: item as u32, end: job::End::Completed { text, versions, score } })
    }

    /// Gives an item up; returns the result to list.
    pub fn lose(&mut self, job: &JobId, item: usize) -> Option<Outcome> {
        self.tasks.remove(&(job.clone(), item))?;
        Some(Outcome { item: item as u32, end: job::End::Lost })
    }

    /// Returns the items that may be given up and do not run.
    pub fn overdue(&self, wall_ms: u64) -> Vec<(JobId, usize)> {
        let is_overdue = |task: &&Task| {
            task.engine.is_none() && task.job.give_up_ms.is_some_and(|give_up| wall_ms > give_up)
        };
        let overdue = self.tasks.values().filter(is_overdue);
        overdue.map(|task| (task.job.id.clone(), task.item)).collect()
    }

    /// Returns how many items wait and how many run.
    pub fn counts(&self) -> (usize, usize) {
        let running = self.tasks.values().filter(|task| task.engine.is_some()).count();
        (self.tasks.len() - running, running)
    }

    /// Returns how many items of each model wait for an engine.
    pub fn waiting(&self, wall_ms: u64) -> BTreeMap<ModelId, usize> {
        let mut waiting = BTreeMap::new();
        for task in self.tasks.values().filter(|task| task.is_waiting(wall_ms)) {
            if let Some(model) = &task.job.model {
                *waiting.entry(model.clone()).or_default() += 1;
            }
        }
        waiting
    }

    /// Returns how many items each engine runs.
    pub fn load(&self) -> BTreeMap<TargetId, u32> {
        let mut load = BTreeMap::new();
        for engine in self.tasks.values().filter_map(|task| task.engine.as_ref()) {
            *load.entry(engine.clone()).or_default() += 1;
        }
        load
    }
}

/// Returns how slow another engine may be at most for an item to go on there, if it may leave its
/// own.
fn most_slowness(task: &Task, wall_ms: u64, slowness: &BTreeMap<&TargetId, f64>) -> Option<f64> {
    let own = *slowness.get(task.engine.as_ref()?)?;
    let stay = wall_ms.saturating_sub(task.began_ms);
    if task.is_generated || task.moves >= MOST_MOVES || stay < SHORTEST_STAY_MS {
        return None;
    }
    if own >= SLOW_FACTOR {
        return Some(FAST_FACTOR);
    }
    (stay >= LONG_STAY_MS && task.moves == 0).then_some(own / LONG_FACTOR)
}

/// Returns the tokens that the items of a job are expected to take in the mean.
fn mean_tokens(job: &Job) -> u64 {
    let sum: u64 = job.items.iter().map(|item| item.expected_tokens).sum();
    sum / job.items.len().max(1) as u64
}

/// Returns the order in which items are run.
fn rank(task: &Task, wall_ms: u64) -> (bool, u64, u8, u64, bool, Reverse<u64>, usize) {
    let job = &task.job;
    let is_late = wall_ms >= job.due_ms;
    let tokens = task.expected_tokens();
    let urgency = job.due_ms / DUE_BUCKET_MS;
    (is_late, urgency, job.priority, job.due_ms, !task.is_carried, Reverse(tokens), task.item)
}

/// Returns whether a version may make tokens for a job.
pub(crate) fn is_fresh(version: Option<Version>, least: Option<Version>) -> bool {
    match (version, least) {
        (_, None) => true,
        (Some(version), Some(least)) => version >= least,
        (None, Some(_)) => false,
    }
}
