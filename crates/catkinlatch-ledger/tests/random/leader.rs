//! A leader of the simulation: its schedule, its runs, and its proposals.

use super::model;
use catkinlatch_base::{JobId, RunId, TargetId};
use catkinlatch_ledger::{
    Command, Item, Outcome, Schedule, State,
    build::Seen,
    job::{Advance, Progress},
    schedule::{End, Engine, Loss, Next},
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

type Key = (JobId, usize);

/// A run of an item on an engine.
pub struct Run {
    pub run: RunId,
    pub engine: TargetId,
    pub progress: Progress,
}

/// A run that was preempted and whose end is reported later.
struct CutRun {
    key: Key,
    run: RunId,
    progress: Progress,
}

#[derive(Default)]
pub struct Leader {
    schedule: Schedule,
    runs: BTreeMap<Key, Run>,
    cut_runs: Vec<CutRun>,
    /// Items whose scoring request is in flight.
    scoring: Vec<Key>,
    /// Proposals that are not committed yet, oldest first.
    pub proposed: VecDeque<Command>,
}

impl Leader {
    /// Adds new jobs, and stops those that ended.
    pub fn sync_jobs(&mut self, state: &State) {
        let over = self.schedule.sync_jobs(&state.jobs);
        self.schedule.resolve_builds(|_| Seen::Only(Default::default()));
        for id in over {
            self.schedule.remove(&id);
            self.runs.retain(|(job, _), _| *job != id);
            self.scoring.retain(|(job, _)| *job != id);
        }
    }

    /// Gives up items past the time limit of their job, and starts runs while there are waiting
    /// items and free slots.
    pub fn assign(&mut self, state: &State, engines: &[Engine], wall_ms: u64) {
        for (job, item) in self.schedule.overdue(wall_ms) {
            if !self.scoring.contains(&(job.clone(), item)) {
                self.give_up(&job, item);
            }
        }
        while let Some(assignment) = self.schedule.next(wall_ms, engines) {
            let key = (assignment.job, assignment.item);
            let record = &state.jobs[&key.0];
            assert!(!record.is_finished(key.1), "{key:?} runs although it has a result");
            let progress = self.schedule.task(&key.0, key.1).unwrap().progress.clone();
            super::check::check_prefix(&record.job.items[key.1], &progress);
            let run = Run { run: assignment.run, engine: assignment.engine, progress };
            assert!(self.runs.insert(key, run).is_none(), "an item has two runs");
        }
        for engine in engines {
            let running = self.runs.values().filter(|run| run.engine == engine.id).count();
            assert!(running <= engine.slots as usize, "{} runs {running} items", engine.id);
        }
    }

    /// Picks a random run, with its item.
    fn pick_run(&mut self, random: &mut fastrand::Rng) -> Option<(Key, Item)> {
        let key = random.choice(self.runs.keys().cloned().collect::<Vec<_>>())?;
        let item = self.schedule.task(&key.0, key.1).unwrap().item().clone();
        Some((key, item))
    }

    /// Makes a random run generate some events or end.
    pub fn advance_run(&mut self, engines: &[Engine], wall_ms: u64, random: &mut fastrand::Rng) {
        let Some((key, item)) = self.pick_run(random) else { return };
        let run = self.runs.get_mut(&key).unwrap();
        let engine = engines.iter().find(|engine| engine.id == run.engine).unwrap();
        let version = engine.version(Some(&model::model()));
        let task = self.schedule.task(&key.0, key.1).unwrap();
        let length = model::events(&item);
        for _ in 0..random.u64(..12) {
            if run.progress.last_event < length && task.accepts(version) {
                model::generate(&item, &mut run.progress, version.unwrap());
            }
        }
        let end = match random.u8(..12) {
            _ if length == 0 => End::Impossible,
            _ if !task.accepts(version) => End::Outdated(version),
            0 => End::Broken,
            1 if run.progress.last_event == 0 => End::Refused,
            2 => End::Failed,
            3 => End::OtherTarget,
            _ if run.progress.last_event == length => End::Whole,
            _ => return,
        };
        let Run { run, progress, .. } = self.runs.remove(&key).unwrap();
        self.end(key, run, end, progress, wall_ms);
    }

    fn end(&mut self, key: Key, run: RunId, end: End, progress: Progress, wall_ms: u64) {
        match self.schedule.end(&key.0, key.1, run, end, progress, wall_ms) {
            Next::Nothing | Next::Again => {}
            Next::Score => self.scoring.push(key),
            Next::Lose(Loss::Failures | Loss::Impossible) => self.give_up(&key.0, key.1),
            Next::Lose(loss) => panic!("the end of a run must not lead to {loss:?}"),
        }
    }

    /// Preempts a run: aborts it to move its item. Its end is reported later.
    pub fn preempt(&mut self, random: &mut fastrand::Rng) {
        let Some((key, _)) = self.pick_run(random) else { return };
        let Run { run, progress, engine } = self.runs.remove(&key).unwrap();
        let engine_left = self.schedule.task_mut(&key.0, key.1).unwrap().preempt(progress.clone());
        assert_eq!(engine_left, Some(engine));
        self.cut_runs.push(CutRun { key, run, progress });
    }

    /// Reports the end of a run that was preempted, which must have no effect.
    pub fn end_cut_run(&mut self, wall_ms: u64, random: &mut fastrand::Rng) {
        if self.cut_runs.is_empty() {
            return;
        }
        let CutRun { key, run, progress } =
            self.cut_runs.swap_remove(random.usize(..self.cut_runs.len()));
        let next = self.schedule.end(&key.0, key.1, run, End::Whole, progress, wall_ms);
        assert_eq!(next, Next::Nothing, "the end of a cut run of {key:?} had an effect");
    }

    /// Ends a scoring request.
    pub fn score(&mut self, random: &mut fastrand::Rng) {
        if self.scoring.is_empty() {
            return;
        }
        let (job, item) = self.scoring.swap_remove(random.usize(..self.scoring.len()));
        match random.u8(..20) {
            0 => self.give_up(&job, item),
            _ => {
                let outcome = self.schedule.complete(&job, item, Some("signed".to_owned()));
                self.propose_result(&job, outcome.expect("a complete output is scored once"));
            }
        }
    }

    /// Proposes progress records of long-running items, any of which may be lost.
    pub fn record(&mut self, wall_ms: u64, random: &mut fastrand::Rng) {
        let mut advances: Vec<Arc<Advance>> = Vec::new();
        for ((job, item), run) in &self.runs {
            let task = self.schedule.task_mut(job, *item).unwrap();
            advances.extend(task.take_unrecorded(&run.progress, wall_ms).map(Arc::new));
        }
        if !advances.is_empty() && random.u8(..5) > 0 {
            let advances = advances.into_iter().map(Arc::unwrap_or_clone).collect();
            self.proposed.push_back(Command::Advance(advances));
        }
    }

    fn give_up(&mut self, job: &JobId, item: usize) {
        if let Some(outcome) = self.schedule.give_up(job, item) {
            self.propose_result(job, outcome);
        }
    }

    fn propose_result(&mut self, job: &JobId, outcome: Outcome) {
        let command = Command::Finish { job: job.clone(), outcome: Arc::new(outcome) };
        self.proposed.push_back(command);
    }
}
