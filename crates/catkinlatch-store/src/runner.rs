//! Schedules and runs the items of batch jobs while this host leads.

mod end;
mod record;

use crate::{
    host::Host,
    pace::pause_after_pass,
    run::{self, SharedProgress, Summary},
    shared::Shared,
    workload::Workload,
};
use catkinlatch_base::{Instant, JobId, RunId, TargetId};
use catkinlatch_ledger::{
    Schedule, Target,
    balancer::Verdict,
    schedule::{Assignment, Engine, Loss},
};
use log::info;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
    time,
};

/// Interval at which the runner checks for changes that it is not notified of, such as deadlines.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Capacity of the queue of completions.
const COMPLETION_QUEUE: usize = 4_096;

/// What a spawned task reports to the runner when it completes.
enum Completion {
    /// A run ended.
    Ended {
        run: RunId,
        job: JobId,
        item: usize,
        engine: Target,
        summary: Box<Summary>,
        took: Duration,
    },
    /// The text of an item was scored, or its job requires no score.
    Scored { job: JobId, item: usize, score: Option<String> },
    /// Scoring the text of an item failed.
    NotScored { job: JobId, item: usize, loss: Loss },
}

/// A spawned task that runs or scores an item.
struct Handle {
    task: AbortHandle,
    /// The progress of the run; `None` while the sample is scored.
    progress: Option<SharedProgress>,
}

/// Schedules and runs the items of batch jobs.
pub struct Runner {
    host: Arc<Host>,
    shared: Shared,
    schedule: Schedule,
    runs: JoinSet<()>,
    handles: BTreeMap<(JobId, usize), Handle>,
    sender: mpsc::Sender<Completion>,
    completions: mpsc::Receiver<Completion>,
    last_recorded: Instant,
}

impl Runner {
    /// Creates the runner of a new leader.
    pub fn new(host: Arc<Host>) -> Self {
        let (sender, completions) = mpsc::channel(COMPLETION_QUEUE);
        let last_recorded = host.clock.now();
        let shared = Shared::default();
        host.observations.restart(shared.clone());
        Self {
            host,
            shared,
            schedule: Schedule::default(),
            runs: JoinSet::new(),
            handles: BTreeMap::new(),
            sender,
            completions,
            last_recorded,
        }
    }

    /// Runs items until the future is dropped, which aborts all runs.
    pub async fn run(mut self) {
        self.schedule.crashes.adopt(self.host.suspects.lock().suspects());
        let mut applied = self.host.replica.applied();
        let mut revision = self.host.revision();
        loop {
            let began = time::Instant::now();
            self.sync_jobs();
            for start in self.host.suspects.lock().take_survivors() {
                self.schedule.crashes.retract(&start);
            }
            self.give_up_overdue();
            self.assign();
            self.record_progress();
            time::sleep(pause_after_pass(began.elapsed())).await;
            tokio::select! {
                first = self.completions.recv() => self.process_completions(first),
                _ = applied.changed() => {}
                _ = revision.changed() => {}
                () = time::sleep(POLL_INTERVAL) => {}
            }
            while self.runs.try_join_next().is_some() {}
        }
    }

    /// Adds new jobs to the schedule, and stops jobs that are done or were ended.
    fn sync_jobs(&mut self) {
        let schedule = &mut self.schedule;
        for job in self.host.replica.read(|state| schedule.sync_jobs(&state.jobs)) {
            self.stop_job(&job);
        }
    }

    /// Aborts all runs of a job and removes it from the schedule.
    fn stop_job(&mut self, job: &JobId) {
        let mut stopped = 0;
        for (key, handle) in self.handles.extract_if(.., |(other, _), _| other == job) {
            let engine = self.schedule.task(&key.0, key.1).and_then(|task| task.engine.clone());
            if let Some(engine) = engine {
                let now = self.host.clock.now();
                self.shared.balancer().end(&engine, Verdict::Unknown, now);
            }
            handle.task.abort();
            stopped += 1;
        }
        self.schedule.remove(job);
        if stopped > 0 {
            info!(job:% = job, runs = stopped; "jobs: stopped the runs of an ended job");
        }
    }

    /// Gives up overdue items that are neither running nor being scored.
    fn give_up_overdue(&mut self) {
        for (job, item) in self.schedule.overdue(self.host.clock.wall_ms()) {
            if self.handles.contains_key(&(job.clone(), item)) {
                continue;
            }
            self.give_up(&job, item, Loss::Overdue);
        }
    }

    /// Starts runs as long as items wait and engines have free slots.
    fn assign(&mut self) {
        let engines = self.engines();
        if engines.is_empty() {
            return;
        }
        self.move_stragglers(&engines);
        for assignment in self.schedule.assign(self.host.clock.wall_ms(), &engines, usize::MAX) {
            self.start(&assignment);
        }
        let waiting = self.schedule.waiting(self.host.clock.wall_ms());
        self.host.soft_state().workload = Workload { waiting, running: self.schedule.load() };
    }

    /// Returns the engines that accept new items.
    fn engines(&self) -> Vec<Engine> {
        let now = self.host.clock.now();
        let balancer = self.shared.balancer();
        let soft = self.host.soft_state();
        let all: Vec<&Target> =
            soft.registry.targets().filter(|target| !target.models.is_empty()).collect();
        let ids: Vec<TargetId> = all.iter().map(|target| target.id.clone()).collect();
        let slowness = balancer.slowness(&ids, now);
        let is_usable =
            |target: &Target| target.is_ready() && !balancer.is_backing_off(&target.id, now);
        let engine = |(target, slowness): (&Target, f64)| {
            let mut models = target.models.clone();
            if let Some(loading) = soft.loading(&target.id, now) {
                models.remove(loading);
            }
            Engine {
                id: target.id.clone(),
                service: target.service.clone(),
                slots: target.slots,
                slowness,
                models,
            }
        };
        let usable = all.into_iter().zip(slowness).filter(|(target, _)| is_usable(target));
        usable.map(engine).collect()
    }

    fn start(&mut self, assignment: &Assignment) {
        let Assignment { job, item, engine, run } = assignment;
        let target = self.host.soft_state().registry.target(engine).cloned();
        let Some(task) = self.schedule.task_mut(job, *item) else { return };
        let Some(target) = target else {
            task.requeue(task.progress.clone());
            return;
        };
        info!(
            job:% = job, request:% = task.item().id, target_id:% = engine,
            after = task.progress.last_event, failures = task.failures;
            "jobs: run"
        );
        self.shared.balancer().begin(engine);
        let progress = SharedProgress::new(Mutex::new(task.progress.clone()));
        let (shared_job, shared) = (task.job.clone(), self.shared.clone());
        let (host, sender, item, run) = (self.host.clone(), self.sender.clone(), *item, *run);
        let run_progress = progress.clone();
        let handle = self.runs.spawn(async move {
            let began = host.clock.now();
            let summary = run::run(&host, &shared, &shared_job, item, &target, &run_progress).await;
            let took = host.clock.now() - began;
            let job = shared_job.id.clone();
            let summary = Box::new(summary);
            let completion = Completion::Ended { run, job, item, engine: target, summary, took };
            let _ = sender.send(completion).await;
        });
        let handle = Handle { task: handle, progress: Some(progress) };
        self.handles.insert((job.clone(), item), handle);
    }

    /// Cancels runs on slow engines, to resume them elsewhere after their last complete event.
    fn move_stragglers(&mut self, engines: &[Engine]) {
        for (job, item) in self.schedule.stragglers(self.host.clock.wall_ms(), engines) {
            let key = (job, item);
            let shared_progress = self.handles.get(&key).and_then(|handle| handle.progress.clone());
            let Some(shared_progress) = shared_progress else { continue };
            let Some(handle) = self.handles.remove(&key) else { continue };
            handle.task.abort();
            let progress = shared_progress.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Some(task) = self.schedule.task_mut(&key.0, item) else { continue };
            let after = progress.last_event;
            let engine = task.preempt(progress);
            info!(
                job:% = key.0, request:% = task.item().id, after = after, target_id:? = engine;
                "jobs: moved a run off a slow engine"
            );
            if let Some(engine) = engine {
                self.shared.balancer().end(&engine, Verdict::Unknown, self.host.clock.now());
            }
        }
    }
}
