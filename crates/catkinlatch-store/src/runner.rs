//! Runs the items of batch jobs while this host leads.

mod end;
mod record;

use crate::{
    host::Host,
    run::{self, Ended, Shown},
    shared::Shared,
    work::Work,
};
use catkinlatch_base::{Instant, JobId, RunId, TargetId};
use catkinlatch_ledger::{
    Schedule, Target,
    choice::Verdict,
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

/// How often the runner looks for what no event tells.
const TICK: Duration = Duration::from_millis(50);

/// How many ends of runs may wait.
const QUEUE: usize = 4_096;

/// What a run tells.
enum Told {
    /// It ended.
    Ended { run: RunId, job: JobId, item: usize, engine: Target, ended: Box<Ended>, took: Duration },
    /// The text of an item was scored, or need not be.
    Scored { job: JobId, item: usize, score: Option<String> },
    /// The text of an item could not be scored.
    NotScored { job: JobId, item: usize },
}

/// A task that works on an item.
struct Handle {
    task: AbortHandle,
    /// What a run has generated; none while the sample is scored.
    shown: Option<Shown>,
}

/// Runs the items of batch jobs.
pub struct Runner {
    host: Arc<Host>,
    shared: Shared,
    schedule: Schedule,
    runs: JoinSet<()>,
    handles: BTreeMap<(JobId, usize), Handle>,
    tell: mpsc::Sender<Told>,
    told: mpsc::Receiver<Told>,
    recorded: Instant,
}

impl Runner {
    /// Creates the runner of a new leader.
    pub fn new(host: Arc<Host>) -> Self {
        let (tell, told) = mpsc::channel(QUEUE);
        let recorded = host.clock.now();
        Self {
            host,
            shared: Shared::default(),
            schedule: Schedule::default(),
            runs: JoinSet::new(),
            handles: BTreeMap::new(),
            tell,
            told,
            recorded,
        }
    }

    /// Runs items until it is dropped, which ends all runs.
    pub async fn run(mut self) {
        let mut applied = self.host.replica.applied();
        let mut revision = self.host.revision();
        loop {
            self.follow_jobs();
            self.give_up_overdue();
            self.assign();
            self.record_progress();
            tokio::select! {
                told = self.told.recv() => self.take_all(told),
                _ = applied.changed() => {}
                _ = revision.changed() => {}
                () = time::sleep(TICK) => {}
            }
            while self.runs.try_join_next().is_some() {}
        }
    }

    /// Takes new jobs, and stops what was ended.
    fn follow_jobs(&mut self) {
        let schedule = &mut self.schedule;
        for job in self.host.replica.read(|state| schedule.follow(&state.jobs)) {
            self.stop(&job);
        }
    }

    /// Ends all runs of a job.
    fn stop(&mut self, job: &JobId) {
        let mut stopped = 0;
        for (key, handle) in self.handles.extract_if(.., |(other, _), _| other == job) {
            let engine = self.schedule.task(&key.0, key.1).and_then(|task| task.engine.clone());
            if let Some(engine) = engine {
                let now = self.host.clock.now();
                self.shared.choice().end(&engine, Verdict::Unknown, now);
            }
            handle.task.abort();
            stopped += 1;
        }
        self.schedule.remove(job);
        if stopped > 0 {
            info!(job:% = job, runs = stopped; "jobs: stopped the runs of an ended job");
        }
    }

    /// Lists items as lost that may be given up.
    fn give_up_overdue(&mut self) {
        for (job, item) in self.schedule.overdue(self.host.clock.wall_ms()) {
            if self.handles.contains_key(&(job.clone(), item)) {
                continue;
            }
            self.lose(&job, item, Loss::Overdue);
        }
    }

    /// Starts runs while there are items and free slots.
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
        self.host.soft().work = Work { waiting, running: self.schedule.load() };
    }

    /// Returns the engines that take new items.
    fn engines(&self) -> Vec<Engine> {
        let now = self.host.clock.now();
        let choice = self.shared.choice();
        let soft = self.host.soft();
        let fellows: Vec<TargetId> = soft
            .registry
            .targets()
            .filter(|target| !target.models.is_empty())
            .map(|target| target.id.clone())
            .collect();
        let is_usable = |target: &&Target| target.is_ready() && !choice.rests(&target.id, now);
        let engine = |target: &Target| {
            let mut models = target.models.clone();
            if let Some(loading) = soft.loading(&target.id, now) {
                models.remove(loading);
            }
            Engine {
                id: target.id.clone(),
                service: target.service.clone(),
                slots: target.slots,
                slowness: choice.slowness(&target.id, &fellows, now),
                models,
            }
        };
        soft.registry.targets().filter(is_usable).map(engine).collect()
    }

    fn start(&mut self, assignment: &Assignment) {
        let Assignment { job, item, engine, run } = assignment;
        let target = self.host.soft().registry.target(engine).cloned();
        let Some(task) = self.schedule.task_mut(job, *item) else { return };
        let Some(target) = target else {
            task.put_back(task.progress.clone());
            return;
        };
        info!(
            job:% = job, request:% = task.item().id, target_id:% = engine,
            after = task.progress.last_event, failures = task.failures;
            "jobs: run"
        );
        self.shared.choice().begin(engine);
        let shown = Shown::new(Mutex::new(task.progress.clone()));
        let (shared_job, shared) = (task.job.clone(), self.shared.clone());
        let (host, tell, item, run) = (self.host.clone(), self.tell.clone(), *item, *run);
        let progress = shown.clone();
        let handle = self.runs.spawn(async move {
            let began = host.clock.now();
            let ended = run::run(&host, &shared, &shared_job, item, &target, &progress).await;
            let took = host.clock.now() - began;
            let job = shared_job.id.clone();
            let ended = Box::new(ended);
            let told = Told::Ended { run, job, item, engine: target, ended, took };
            let _ = tell.send(told).await;
        });
        let handle = Handle { task: handle, shown: Some(shown) };
        self.handles.insert((job.clone(), item), handle);
    }

    /// Cuts runs at slow engines, to go on elsewhere from their last whole event.
    fn move_stragglers(&mut self, engines: &[Engine]) {
        for (job, item) in self.schedule.stragglers(self.host.clock.wall_ms(), engines) {
            let key = (job, item);
            let shown = self.handles.get(&key).and_then(|handle| handle.shown.clone());
            let Some(shown) = shown else { continue };
            let Some(handle) = self.handles.remove(&key) else { continue };
            handle.task.abort();
            let progress = shown.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Some(task) = self.schedule.task_mut(&key.0, item) else { continue };
            let after = progress.last_event;
            let engine = task.cut(progress);
            info!(
                job:% = key.0, request:% = task.item().id, after = after, target_id:? = engine;
                "jobs: moves a run away from a slow engine"
            );
            if let Some(engine) = engine {
                self.shared.choice().end(&engine, Verdict::Unknown, self.host.clock.now());
            }
        }
    }
}
