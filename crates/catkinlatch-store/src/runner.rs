//! Runs the items of batch jobs while this host leads.

use crate::{
    host::Host,
    run::{self, End, Ended, Shown},
    score::{self, Score},
    work::Work,
};
use catkinlatch_base::{Instant, JobId, TargetId};
use catkinlatch_ledger::{
    Choice, Command, Job, Outcome, Schedule, Target,
    choice::Verdict,
    job::{self, Advance, Progress},
    schedule::{Assignment, Engine},
};
use log::{info, warn};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc},
    task::{AbortHandle, JoinSet},
    time,
};

/// How often the runner looks for what no event tells.
const TICK: Duration = Duration::from_millis(50);

/// How often the progress of long items is recorded: what a change of leader may cost of them.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// How many items one record names at most, which bounds the size of an entry of the log.
const RECORDED_ITEMS: usize = 64;

/// How long an item rests after it failed, in milliseconds.
const FAILURE_REST_MS: u64 = 100;

/// How many ends of runs may wait.
const QUEUE: usize = 4_096;

/// What the runs share.
#[derive(Clone, Default)]
pub struct Shared {
    choice: Arc<Mutex<Choice>>,
    freed: Arc<Notify>,
}

impl Shared {
    /// Locks what is known of targets; never held while waiting.
    pub fn choice(&self) -> MutexGuard<'_, Choice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is told when a scoring call has ended.
    pub fn freed(&self) -> &Notify {
        &self.freed
    }
}

/// What a run tells.
enum Told {
    /// It ended.
    Ended { run: u64, job: JobId, item: usize, engine: Target, ended: Box<Ended>, took: Duration },
    /// The item's result is to be listed.
    Result { job: JobId, outcome: Outcome },
}

/// A task that works on an item.
struct Handle {
    /// Counts the runs of this leader, so that one that was cut is told from the next.
    run: u64,
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
    last_run: u64,
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
            last_run: 0,
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
        let mut ended = Vec::new();
        let schedule = &mut self.schedule;
        self.host.replica.read(|state| {
            for (id, record) in &state.jobs {
                schedule.add(record);
                if record.is_done() && schedule.contains(id) {
                    ended.push(id.clone());
                }
            }
        });
        for job in ended {
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
            warn!(job:% = job, item = item; "jobs: gave an item up, its time is over");
            self.list(job, Outcome { item: item as u32, end: job::End::Lost });
        }
    }

    /// Starts runs while there are items and free slots.
    fn assign(&mut self) {
        let engines = self.engines();
        if engines.is_empty() {
            return;
        }
        self.move_stragglers(&engines);
        while let Some(assignment) = self.schedule.next(self.host.clock.wall_ms(), &engines) {
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
        let Assignment { job, item, engine } = assignment;
        let target = self.host.soft().registry.target(engine).cloned();
        let task = self.schedule.task_mut(job, *item);
        let (Some(target), Some(task)) = (target, task) else { return };
        info!(
            job:% = job, request:% = task.item().id, target_id:% = engine,
            after = task.progress.last_event, failures = task.failures;
            "jobs: run"
        );
        self.shared.choice().begin(engine);
        let shown = Shown::new(Mutex::new(task.progress.clone()));
        let (shared_job, shared) = (task.job.clone(), self.shared.clone());
        let (host, tell, item) = (self.host.clone(), self.tell.clone(), *item);
        let progress = shown.clone();
        self.last_run += 1;
        let run = self.last_run;
        let handle = self.runs.spawn(async move {
            let began = host.clock.now();
            let ended = run::run(&host, &shared, &shared_job, item, &target, &progress).await;
            let took = host.clock.now() - began;
            let job = shared_job.id.clone();
            let ended = Box::new(ended);
            let told = Told::Ended { run, job, item, engine: target, ended, took };
            let _ = tell.send(told).await;
        });
        let handle = Handle { run, task: handle, shown: Some(shown) };
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
            let engine = task.engine.clone();
            info!(
                job:% = key.0, request:% = task.item().id, after = progress.last_event,
                target_id:? = engine;
                "jobs: moves a run away from a slow engine"
            );
            task.put_back(progress);
            if let Some(engine) = engine {
                let now = self.host.clock.now();
                self.shared.choice().end(&engine, Verdict::Unknown, now);
                task.refused.insert(engine);
                task.moves += 1;
            }
        }
    }

    /// Commits how far long items have come, so that the next leader need not begin them anew.
    fn record_progress(&mut self) {
        let now = self.host.clock.now();
        if now < self.recorded + RECORD_INTERVAL {
            return;
        }
        self.recorded = now;
        let wall_ms = self.host.clock.wall_ms();
        let mut advances = Vec::new();
        for ((job, item), handle) in &self.handles {
            let Some(shown) = &handle.shown else { continue };
            let Some(task) = self.schedule.task_mut(job, *item) else { continue };
            let shown = shown.lock().unwrap_or_else(PoisonError::into_inner);
            if task.wants_record(shown.last_event, wall_ms) {
                let after = task.recorded_event;
                let (job, item, progress) = (job.clone(), *item as u32, shown.since(after));
                task.recorded_event = shown.last_event;
                advances.push(Advance { job, item, after, progress });
            }
        }
        for chunk in advances.chunks(RECORDED_ITEMS) {
            let (host, chunk) = (self.host.clone(), chunk.to_vec());
            self.runs.spawn(async move {
                let items = chunk.len();
                let reply = host.replica.propose(Command::Advance(chunk)).await;
                info!(items = items, reply:? = reply; "jobs: recorded progress");
            });
        }
    }

    fn take_all(&mut self, told: Option<Told>) {
        let mut next = told;
        while let Some(told) = next {
            match told {
                Told::Ended { run, job, item, engine, ended, took } => {
                    let handle = self.handles.get(&(job.clone(), item));
                    // A run that was cut when it had just ended is over already.
                    if handle.is_some_and(|handle| handle.run == run) {
                        self.take(job, item, &engine, *ended, took);
                    }
                }
                Told::Result { job, outcome } => self.list(job, outcome),
            }
            next = self.told.try_recv().ok();
        }
    }

    /// Decides what follows the end of a run.
    fn take(&mut self, job: JobId, item: usize, engine: &Target, ended: Ended, took: Duration) {
        self.handles.remove(&(job.clone(), item));
        metrics::histogram!("catkinlatch_jobs_run_seconds").record(took.as_secs_f64());
        let now = self.host.clock.now();
        let verdict = match ended.end {
            End::Whole => Verdict::Answered(took / ended.progress.text.len().max(1) as u32),
            End::Refused => Verdict::Full,
            End::Broken | End::OtherTarget => Verdict::Failed,
            End::Failed | End::Impossible | End::Outdated(_) => Verdict::Unknown,
        };
        self.shared.choice().end(&engine.id, verdict, now);
        self.learn_version(&job, engine, &ended);
        let wall_ms = self.host.clock.wall_ms();
        let Some(task) = self.schedule.task_mut(&job, item) else { return };
        info!(
            job:% = job, request:% = task.item().id, target_id:% = engine.id, end:? = ended.end,
            events = ended.progress.last_event, ms = took.as_millis() as u64,
            first_ms = ended.first.as_millis() as u64, pause_ms = ended.pause.as_millis() as u64,
            reason = ended.reason.as_str();
            "jobs: run ended"
        );
        task.put_back(ended.progress);
        task.refused.clear();
        match ended.end {
            End::Whole if run::is_acceptable(&task.job, &task.progress) => {
                task.is_generated = true;
                task.engine = None;
                let (shared_job, progress) = (task.job.clone(), task.progress.clone());
                self.score(shared_job, item, progress);
            }
            End::Whole => task.restart(),
            End::Failed => {
                task.failures += 1;
                task.restart();
                task.rests_until_ms = wall_ms + FAILURE_REST_MS;
                if task.failures >= task.job.max_attempts {
                    warn!(job:% = job, item = item; "jobs: gave an item up, it failed too often");
                    self.list(job, Outcome { item: item as u32, end: job::End::Lost });
                }
            }
            End::Impossible => {
                warn!(job:% = job, item = item; "jobs: gave an item up, it can never be done");
                self.list(job, Outcome { item: item as u32, end: job::End::Lost });
            }
            End::Broken | End::Refused | End::Outdated(_) | End::OtherTarget => {}
        }
    }

    /// Learns from a run which version an engine holds.
    fn learn_version(&self, job: &JobId, engine: &Target, ended: &Ended) {
        let model = self
            .host
            .replica
            .read(|state| state.jobs.get(job).and_then(|record| record.job.model.clone()));
        if let (Some(model), Some(version)) = (model, ended.version) {
            self.host.soft().registry.saw_version(&engine.id, &model, version);
        }
    }

    /// Starts the call that scores a sample.
    fn score(&mut self, job: Arc<Job>, item: usize, progress: Progress) {
        let (host, shared, tell) = (self.host.clone(), self.shared.clone(), self.tell.clone());
        let id = job.id.clone();
        let handle = self.runs.spawn(async move {
            let scored = match &job.items[item].scorer {
                Some(scorer) => score::score(&host, &shared, scorer, job.max_attempts).await,
                None => Score::Signed(String::new()),
            };
            let end = match scored {
                Score::Signed(signature) => job::End::Completed {
                    text: progress.text.join("\n"),
                    versions: progress.versions.into_iter().collect(),
                    score: job.items[item].scorer.as_ref().map(|_| signature),
                },
                Score::Failed => job::End::Lost,
            };
            let outcome = Outcome { item: item as u32, end };
            let _ = tell.send(Told::Result { job: job.id.clone(), outcome }).await;
        });
        self.handles.insert((id, item), Handle { run: 0, task: handle, shown: None });
    }

    /// Commits the result of an item.
    fn list(&mut self, job: JobId, outcome: Outcome) {
        let item = outcome.item as usize;
        self.handles.remove(&(job.clone(), item));
        self.schedule.finish(&job, item);
        let host = self.host.clone();
        self.runs.spawn(async move {
            let is_lost = outcome.end == job::End::Lost;
            let command = Command::Finish { job: job.clone(), outcome: Arc::new(outcome) };
            let reply = host.replica.propose(command).await;
            let end = if is_lost { "lost" } else { "completed" };
            metrics::counter!("catkinlatch_jobs_items", "end" => end).increment(1);
            info!(job:% = job, item = item, lost = is_lost, reply:? = reply; "jobs: listed");
        });
    }
}
