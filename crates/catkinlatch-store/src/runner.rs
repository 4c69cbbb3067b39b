//! Schedules and runs the items of batch jobs while this host leads.

mod end;
mod record;

use crate::{
    concurrency,
    host::Host,
    pace::pause_after_pass,
    run::{self, SharedProgress, Summary},
    shared::Shared,
    soft_state::SoftState,
    workload::Workload,
};
use catkinlatch_base::{Instant, JobId, RunId, TargetId};
use catkinlatch_ledger::{
    Schedule, Target,
    balancer::Verdict,
    schedule::{Assignment, Engine, Loss},
};
use catkinlatch_runtime::Clock;
use log::{info, warn};
use std::{
    collections::BTreeMap,
    future,
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

/// Number of runs that start at once. Other tasks, such as heartbeats of the log, have their turn
/// before the next ones start: each start opens a connection.
const START_BATCH: usize = 16;

/// Most items that one pass assigns. Each one is compared with all engines, so that thousands of
/// items and hundreds of engines would keep the log from its heartbeats for half a second.
const MAX_ASSIGNMENTS: usize = 64;

/// Pause between two batches of starts.
const BATCH_PAUSE: Duration = Duration::from_millis(1);

/// How long items may wait before it is logged why, and the interval between two such lines.
const LONG_WAIT: Duration = Duration::from_secs(5);

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
    /// When it was last logged why items wait.
    last_logged: Instant,
    /// The revision of the soft state whose builds of engines were observed last.
    observed: Option<u64>,
}

impl Runner {
    /// Creates the runner of a new leader.
    pub fn new(host: Arc<Host>) -> Self {
        let (sender, completions) = mpsc::channel(COMPLETION_QUEUE);
        let now = host.clock.now();
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
            last_recorded: now,
            last_logged: now,
            observed: None,
        }
    }

    /// Runs items until the future is dropped, which aborts all runs.
    pub async fn run(mut self) {
        self.schedule.crashes.adopt(self.host.suspects.lock().suspects());
        let mut applied = self.host.replica.applied();
        let mut revision = self.host.revision();
        self.runs.spawn(measure_lateness(self.host.clock, self.shared.clone()));
        loop {
            let began = time::Instant::now();
            self.sync_jobs();
            for start in self.host.suspects.lock().take_survivors() {
                self.schedule.crashes.retract(&start);
            }
            self.give_up_overdue();
            let assignments = self.assign();
            self.record_progress();
            let took = began.elapsed();
            let may_assign_more = assignments.len() == MAX_ASSIGNMENTS;
            self.start_all(assignments).await;
            time::sleep(pause_after_pass(took)).await;
            tokio::select! {
                first = self.completions.recv() => self.process_completions(first),
                () = future::ready(()), if may_assign_more => {}
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
        let now = self.host.clock.now();
        let ended = self.host.replica.read(|state| schedule.sync_jobs(&state.jobs));
        let mut soft = self.host.soft_state();
        let SoftState { registry, builds, revision, .. } = &mut *soft;
        if self.observed.replace(*revision) != Some(*revision) {
            builds.observe(registry.targets(), now);
        }
        // Targets announce themselves to a leader without a predecessor one after the other.
        let settling = Duration::from_millis(self.host.settings.times.heartbeat_ms) * 2;
        schedule.resolve_builds(|service| builds.seen(service, settling, now));
        drop(soft);
        for job in ended {
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
        let wall_ms = self.host.clock.wall_ms();
        let mut overdue = self.schedule.overdue(wall_ms);
        overdue.retain(|key| !self.handles.contains_key(key));
        if overdue.is_empty() {
            return;
        }
        let engines = self.engines();
        for (job, item) in overdue {
            if let Some(obstacle) = self.schedule.obstacle(&job, item, &engines, wall_ms) {
                warn!(
                    job:% = job, item = item, waits_for:% = obstacle;
                    "jobs: an item waits at the end of its time"
                );
            }
            self.give_up(&job, item, Loss::Overdue);
        }
    }

    /// Logs why the item that has waited longest runs on no engine.
    fn log_waiting(&mut self, engines: &[Engine]) {
        let (now, wall_ms) = (self.host.clock.now(), self.host.clock.wall_ms());
        if now < self.last_logged + LONG_WAIT {
            return;
        }
        let Some(task) = self.schedule.longest_waiting() else { return };
        let waited_ms = wall_ms.saturating_sub(task.job.submitted_ms);
        let obstacle = self.schedule.obstacle(&task.job.id, task.item, engines, wall_ms);
        let Some(obstacle) = obstacle.filter(|_| waited_ms >= LONG_WAIT.as_millis() as u64) else {
            return;
        };
        let (waiting, running) = self.schedule.counts();
        info!(
            job:% = task.job.id, request:% = task.item().id, waited_ms = waited_ms,
            waits_for:% = obstacle, waiting = waiting, running = running;
            "jobs: items wait"
        );
        self.last_logged = now;
    }

    /// Assigns waiting items to engines as long as engines have free slots and this host may have
    /// more runs.
    fn assign(&mut self) -> Vec<Assignment> {
        let engines = self.engines();
        if engines.is_empty() {
            self.log_waiting(&engines);
            return Vec::new();
        }
        self.move_stragglers(&engines);
        let room = self.room().min(MAX_ASSIGNMENTS);
        let assignments = self.schedule.assign(self.host.clock.wall_ms(), &engines, room);
        self.log_waiting(&engines);
        let waiting = self.schedule.waiting(self.host.clock.wall_ms());
        self.host.soft_state().workload = Workload { waiting, running: self.schedule.load() };
        assignments
    }

    /// Returns how many more runs this host may have under way.
    fn room(&self) -> usize {
        let running = self.handles.values().filter(|handle| handle.progress.is_some()).count();
        let mut limit = self.shared.run_limit();
        limit.set_running(running);
        if let Some(limit) = limit.get() {
            metrics::gauge!("catkinlatch_jobs_run_limit").set(limit as f64);
        }
        limit.room()
    }

    /// Starts the assigned runs in batches; returns the rest to the waiting items if this host turns
    /// out to be too busy for them.
    async fn start_all(&mut self, assignments: Vec<Assignment>) {
        for batch in assignments.chunks(START_BATCH) {
            if self.room() == 0 {
                batch.iter().for_each(|assignment| self.unassign(assignment));
                continue;
            }
            batch.iter().for_each(|assignment| self.start(assignment));
            if batch.len() == START_BATCH {
                time::sleep(BATCH_PAUSE).await;
            }
        }
    }

    /// Returns an item whose run has not started to the waiting items.
    fn unassign(&mut self, assignment: &Assignment) {
        if let Some(task) = self.schedule.task_mut(&assignment.job, assignment.item) {
            task.requeue(task.progress.clone());
        }
    }

    /// Returns the engines that accept new items.
    fn engines(&self) -> Vec<Engine> {
        let now = self.host.clock.now();
        let soft = self.host.soft_state();
        let balancer = self.shared.balancer();
        let all: Vec<&Target> =
            soft.registry.targets().filter(|target| !target.models.is_empty()).collect();
        let ids: Vec<TargetId> = all.iter().map(|target| target.id.clone()).collect();
        let slowness = balancer.slowness(&ids, now);
        let is_usable =
            |target: &Target| target.is_ready() && !balancer.is_backing_off(&target.id, now);
        let load = self.schedule.load();
        let engine = |(target, slowness): (&Target, f64)| {
            let room = self.host.allowance.room(target, now);
            let slots = soft.registry.usable_slots(target, now);
            let running = load.get(&target.id).copied().unwrap_or_default();
            let mut models = target.models.clone();
            if let Some(loading) = soft.loading(&target.id, now) {
                models.remove(loading);
            }
            Engine {
                id: target.id.clone(),
                service: target.service.clone(),
                build: target.build.clone(),
                slots: room.map_or(slots, |room| slots.min(running + room)),
                slowness,
                is_limited: room.is_some(),
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
        // The engine may have started again with another build since it was chosen.
        let Some(target) = target.filter(|target| task.may_go_on(&target.build)) else {
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
        let (run_progress, patience) = (progress.clone(), run::Patience::new(task.late_runs));
        let handle = self.runs.spawn(async move {
            let began = host.clock.now();
            let running =
                run::run(&host, &shared, &shared_job, item, &target, &run_progress, patience);
            let summary = running.await;
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

/// Measures how late timers of this process fire, until it is cancelled.
async fn measure_lateness(clock: Clock, shared: Shared) {
    loop {
        let due = time::Instant::now() + concurrency::TICK;
        time::sleep_until(due).await;
        let late = due.elapsed();
        let before = shared.run_limit().get();
        shared.run_limit().record(late, clock.now());
        let after = shared.run_limit().get();
        if after < before || (before.is_none() && after.is_some()) {
            warn!(
                late_ms = late.as_millis() as u64, runs = after.unwrap_or_default();
                "jobs: too busy, fewer runs at once"
            );
        }
    }
}
