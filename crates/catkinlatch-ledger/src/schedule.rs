//! Decides which item of which job runs next, and on which engine.
//!
//! The order is designed for training steps that trainers wait for, each with more items than
//! there are free slots. Jobs that are not yet past their due time go first, because their trainers
//! can still get the results in time, then the jobs that are due first, then groups that an earlier
//! job left unfinished, then the longest outputs, since they end last.

mod crash;
mod engine;
mod placement;
mod run;
mod task;
mod waiting;

pub use self::{
    crash::Crashes,
    engine::Engine,
    run::{End, Loss, Next},
    task::Task,
    waiting::{Obstacle, Requirement},
};

use self::{crash::Permit, placement::Placement};
use crate::{
    Job, Outcome, Record,
    build::Seen,
    job::{self, Progress},
};
use catkinlatch_base::{GroupId, JobId, RunId, ServiceId, TargetId, Version};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Maximum number of groups that are kept to detect those that are carried over to a later job.
const MAX_STARTED_GROUPS: usize = 4096;

/// Size of the intervals that due times are divided into. Jobs that are due in the same interval
/// are ordered by priority.
const DUE_BUCKET_MS: u64 = 2_000;

/// Minimum slowness from which an engine counts as slow and its items are moved away.
const SLOW_FACTOR: f64 = 2.0;

/// Minimum run time of an item before it is moved. Engines generate about ten events in this time.
const MIN_STAY_MS: u64 = 300;

/// Minimum run time of an item before it leaves an engine that is only moderately slower than
/// another. Most items end sooner, and the few that do not determine when their step ends.
const LONG_RUN_MS: u64 = 1_000;

/// Minimum ratio of the slowness of two engines for a long-running item to move to the faster one,
/// which happens at most once. The slower engines of the deployments take 1.3 times as long as the
/// others, and full engines take 1.2 times as long as idle ones.
const MIN_SPEEDUP: f64 = 1.25;

/// Maximum number of moves per item.
const MAX_MOVES: u32 = 3;

/// Maximum slowness of an engine that takes over items of a slow one.
const FAST_FACTOR: f64 = 1.4;

/// The assignment of an item to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The job of the item.
    pub job: JobId,
    /// The item's position in the job.
    pub item: usize,
    /// The engine that runs the item.
    pub engine: TargetId,
    /// The number of the run in this schedule, which distinguishes an aborted run from the
    /// next.
    pub run: RunId,
}

/// The schedule of a leader: all items that wait or run, or whose output is being scored.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    tasks: BTreeMap<(JobId, usize), Task>,
    known_jobs: BTreeSet<JobId>,
    started_groups: BTreeSet<GroupId>,
    last_run: RunId,
    /// The items under which engines crashed.
    pub crashes: Crashes,
}

impl Schedule {
    /// Adds the items of a job that are still to be run, unless the job was added before.
    pub fn add(&mut self, record: &Record) {
        let job = &record.job;
        if record.is_done() || !self.known_jobs.insert(job.id.clone()) {
            return;
        }
        let mean = mean_expected_tokens(job);
        let groups: BTreeSet<GroupId> =
            job.items.iter().filter_map(|item| item.group.clone()).collect();
        for position in record.open_items() {
            let item = &job.items[position];
            let is_carried =
                item.group.as_ref().is_some_and(|group| self.started_groups.contains(group));
            let mut task = Task::new(job.clone(), position, is_carried);
            task.is_long = item.expected_tokens > mean;
            if let Some(progress) = record.progress(position) {
                task.resume(progress.clone());
            }
            self.tasks.insert((job.id.clone(), position), task);
        }
        self.started_groups.extend(groups);
        while self.started_groups.len() > MAX_STARTED_GROUPS {
            self.started_groups.pop_first();
        }
    }

    /// Adds new jobs, and returns the jobs of the schedule that are done or no longer exist, for
    /// the caller to [remove](Self::remove).
    pub fn sync_jobs(&mut self, jobs: &BTreeMap<JobId, Record>) -> Vec<JobId> {
        jobs.values().for_each(|record| self.add(record));
        let is_over = |job: &&JobId| jobs.get(*job).is_none_or(Record::is_done);
        self.known_jobs.iter().filter(is_over).cloned().collect()
    }

    /// Decides whether items go on after the output that an earlier leader recorded, which names no
    /// build: only if the engines of their service ran a single one. `seen` returns the builds of a
    /// service; items wait until they are settled.
    pub fn resolve_builds(&mut self, seen: impl Fn(&ServiceId) -> Seen) {
        for task in self.tasks.values_mut().filter(|task| task.has_unknown_build()) {
            match seen(&task.job.service) {
                Seen::Unsettled => {}
                Seen::Only(build) => task.build = Some(build),
                Seen::Several => task.restart(),
            }
        }
    }

    /// Removes a job with all its items.
    pub fn remove(&mut self, job: &JobId) {
        self.known_jobs.remove(job);
        self.tasks.retain(|(other, _), _| other != job);
    }

    /// Returns the next item to run, and marks it as running.
    pub fn next(&mut self, wall_ms: u64, engines: &[Engine]) -> Option<Assignment> {
        self.assign(wall_ms, engines, 1).pop()
    }

    /// Returns the next items to run, at most `limit`, and marks them as running.
    pub fn assign(&mut self, wall_ms: u64, engines: &[Engine], limit: usize) -> Vec<Assignment> {
        let mut placement = Placement::new(engines, self.tasks.values());
        let waiting = self.tasks.iter().filter(|(_, task)| task.is_waiting(wall_ms));
        let waiting = waiting.filter_map(|(key, task)| {
            let runs_alone = match self.crashes.permit(task, wall_ms) {
                Permit::Any => false,
                Permit::Alone => true,
                Permit::Wait => return None,
            };
            Some((sort_key(task, wall_ms), key.clone(), runs_alone))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort();
        // The same item may be part of several jobs.
        let running_alone =
            self.tasks.values().filter(|task| task.run.is_some() && task.runs_alone);
        let mut running_alone: BTreeSet<_> = running_alone.map(Task::fingerprint).collect();
        let mut assignments = Vec::new();
        for (_, key, runs_alone) in waiting {
            if assignments.len() >= limit || !placement.has_free_slot() {
                break;
            }
            let Some(task) = self.tasks.get_mut(&key) else { continue };
            if runs_alone && running_alone.contains(&task.fingerprint()) {
                continue;
            }
            task.runs_alone = runs_alone;
            let Some(best) = placement.best_engine(task, wall_ms) else { continue };
            if runs_alone {
                running_alone.insert(task.fingerprint());
            }
            task.prepare(&best.build);
            let engine = best.id.clone();
            placement.add(task, &engine);
            self.last_run = self.last_run.next();
            let run = self.last_run;
            (task.engine, task.run, task.began_ms) = (Some(engine.clone()), Some(run), wall_ms);
            assignments.push(Assignment { job: key.0, item: key.1, engine, run });
        }
        assignments
    }

    /// Returns the items that should move to a faster engine with a free slot, those with the
    /// longest expected output first.
    ///
    /// These are the items of engines that are far slower than the others, and items that have run
    /// for long on an engine that is moderately slower. A move costs little, since an engine
    /// processes a prompt again within a few milliseconds.
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
            .filter_map(|task| Some((task, max_slowness(task, wall_ms, &slowness)?)))
            .collect();
        tasks.sort_by_key(|(task, _)| Reverse(task.expected_tokens()));
        let mut stragglers = Vec::new();
        for (task, max) in tasks {
            let faster = engines.iter().filter(|engine| {
                engine.slowness <= max
                    && free.get(&engine.id).is_some_and(|free| *free > 0)
                    && engine.service == task.job.service
                    && task.accepts(engine.version(task.job.model.as_ref()))
                    && task.build.as_ref() == Some(&engine.build)
            });
            if let Some(engine) = faster.min_by(|a, b| a.slowness.total_cmp(&b.slowness)) {
                *free.entry(&engine.id).or_default() -= 1;
                stragglers.push((task.job.id.clone(), task.item));
            }
        }
        stragglers
    }

    /// Returns the task of an item that has no result yet.
    pub fn task(&self, job: &JobId, item: usize) -> Option<&Task> {
        self.tasks.get(&(job.clone(), item))
    }

    /// Returns the task of an item that has no result yet, for modification.
    pub fn task_mut(&mut self, job: &JobId, item: usize) -> Option<&mut Task> {
        self.tasks.get_mut(&(job.clone(), item))
    }

    /// Records the end of a run with the output that its item has generated, and returns the action
    /// that follows. The end of a run that was aborted before has no effect.
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

    /// Completes an item and returns its result, or `None` if its output is not complete.
    ///
    /// `score` is the signature that the scoring request returned, or `None` for an item without a
    /// scorer.
    pub fn complete(&mut self, job: &JobId, item: usize, score: Option<String>) -> Option<Outcome> {
        self.task(job, item).filter(|task| task.is_generated)?;
        let task = self.tasks.remove(&(job.clone(), item))?;
        let Progress { text, versions, .. } = task.progress;
        let (text, versions) = (text.join("\n"), versions.into_iter().collect());
        Some(Outcome { item: item as u32, end: job::End::Completed { text, versions, score } })
    }

    /// Gives up an item and returns its result, or `None` if the schedule does not contain the
    /// item.
    pub fn give_up(&mut self, job: &JobId, item: usize) -> Option<Outcome> {
        self.tasks.remove(&(job.clone(), item))?;
        Some(Outcome { item: item as u32, end: job::End::Lost })
    }

    /// Returns the items that exceeded the time limit of their job and are not running.
    pub fn overdue(&self, wall_ms: u64) -> Vec<(JobId, usize)> {
        let is_overdue = |task: &&Task| {
            task.engine.is_none() && task.job.give_up_ms.is_some_and(|give_up| wall_ms > give_up)
        };
        let overdue = self.tasks.values().filter(is_overdue);
        overdue.map(|task| (task.job.id.clone(), task.item)).collect()
    }

    /// Returns the number of items that do not run and the number of items that run.
    pub fn counts(&self) -> (usize, usize) {
        let running = self.tasks.values().filter(|task| task.engine.is_some()).count();
        (self.tasks.len() - running, running)
    }

    /// Returns the number of running items by engine.
    pub fn load(&self) -> BTreeMap<TargetId, u32> {
        let mut load = BTreeMap::new();
        for engine in self.tasks.values().filter_map(|task| task.engine.as_ref()) {
            *load.entry(engine.clone()).or_default() += 1;
        }
        load
    }
}

/// Returns the maximum slowness of an engine that an item may move to, or `None` if the item is to
/// stay on its engine.
fn max_slowness(task: &Task, wall_ms: u64, slowness: &BTreeMap<&TargetId, f64>) -> Option<f64> {
    let own = *slowness.get(task.engine.as_ref()?)?;
    let running_ms = wall_ms.saturating_sub(task.began_ms);
    if task.is_generated || task.moves >= MAX_MOVES || running_ms < MIN_STAY_MS {
        return None;
    }
    if own >= SLOW_FACTOR {
        return Some(FAST_FACTOR);
    }
    (running_ms >= LONG_RUN_MS && task.moves == 0).then_some(own / MIN_SPEEDUP)
}

/// Returns the mean expected length of the output of a job's items, in tokens.
fn mean_expected_tokens(job: &Job) -> u64 {
    let sum: u64 = job.items.iter().map(|item| item.expected_tokens).sum();
    sum / job.items.len().max(1) as u64
}

/// Returns the key by which waiting items are ordered, lowest first.
fn sort_key(task: &Task, wall_ms: u64) -> (bool, u64, u8, u64, bool, Reverse<u64>, usize) {
    let job = &task.job;
    let is_late = wall_ms >= job.due_ms;
    let tokens = task.expected_tokens();
    let urgency = job.due_ms / DUE_BUCKET_MS;
    (is_late, urgency, job.priority, job.due_ms, !task.is_carried, Reverse(tokens), task.item)
}

/// Returns whether a version of the weights satisfies the minimum version of a job.
pub(crate) fn satisfies_min_version(
    version: Option<Version>,
    min_version: Option<Version>,
) -> bool {
    match (version, min_version) {
        (_, None) => true,
        (Some(version), Some(min_version)) => version >= min_version,
        (None, Some(_)) => false,
    }
}
