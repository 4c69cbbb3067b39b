//! What follows the ends of runs and of scoring calls.

use super::{Handle, Runner, Told};
use crate::{
    run::Ended,
    score::{self, Score},
};
use catkinlatch_base::{JobId, RunId};
use catkinlatch_ledger::{
    Command, Job, Outcome, Target,
    choice::Verdict,
    job,
    schedule::{End, Loss, Next},
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};

impl Runner {
    /// Takes all that runs and scoring calls have told.
    pub(super) fn take_all(&mut self, told: Option<Told>) {
        let mut next = told;
        while let Some(told) = next {
            match told {
                Told::Ended { run, job, item, engine, ended, took } => {
                    self.take(job, item, run, &engine, *ended, took);
                }
                Told::Scored { job, item, score } => {
                    if let Some(outcome) = self.schedule.complete(&job, item, score) {
                        self.list(job, outcome);
                    }
                }
                Told::NotScored { job, item } => self.lose(&job, item, Loss::Score),
            }
            next = self.told.try_recv().ok();
        }
    }

    /// Takes the end of a run, unless it was cut when it had just ended.
    fn take(
        &mut self,
        job: JobId,
        item: usize,
        run: RunId,
        engine: &Target,
        ended: Ended,
        took: Duration,
    ) {
        let Some(task) = self.schedule.task(&job, item).filter(|task| task.run == Some(run)) else {
            return;
        };
        info!(
            job:% = job, request:% = task.item().id, target_id:% = engine.id, end:? = ended.end,
            events = ended.progress.last_event, ms = took.as_millis() as u64,
            first_ms = ended.first.as_millis() as u64, pause_ms = ended.pause.as_millis() as u64,
            reason = ended.reason.as_str();
            "jobs: run ended"
        );
        metrics::histogram!("catkinlatch_jobs_run_seconds").record(took.as_secs_f64());
        let verdict = match ended.end {
            End::Whole => Verdict::Answered(took / ended.progress.text.len().max(1) as u32),
            End::Refused => Verdict::Full,
            End::Broken | End::Unreachable | End::OtherTarget => Verdict::Failed,
            End::Failed | End::Impossible | End::Outdated(_) => Verdict::Unknown,
        };
        self.shared.choice().end(&engine.id, verdict, self.host.clock.now());
        self.learn_version(&job, engine, &ended);
        self.handles.remove(&(job.clone(), item));
        let Ended { end, progress, .. } = ended;
        match self.schedule.end(&job, item, run, end, progress, self.host.clock.wall_ms()) {
            Next::Nothing | Next::Again => {}
            Next::Score => self.score(job, item),
            Next::Lose(loss) => self.lose(&job, item, loss),
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

    /// Starts the call that scores a sample, if its job asks for one.
    fn score(&mut self, id: JobId, item: usize) {
        let Some(task) = self.schedule.task(&id, item) else { return };
        let (host, shared, tell) = (self.host.clone(), self.shared.clone(), self.tell.clone());
        let job: Arc<Job> = task.job.clone();
        let key = (id, item);
        let handle = self.runs.spawn(async move {
            let scored = match &job.items[item].scorer {
                Some(scorer) => Some(score::score(&host, &shared, scorer, job.max_attempts).await),
                None => None,
            };
            let job = job.id.clone();
            let told = match scored {
                Some(Score::Signed(signature)) => {
                    Told::Scored { job, item, score: Some(signature) }
                }
                Some(Score::Failed) => Told::NotScored { job, item },
                None => Told::Scored { job, item, score: None },
            };
            let _ = tell.send(told).await;
        });
        self.handles.insert(key, Handle { task: handle, shown: None });
    }

    /// Gives an item up.
    pub(super) fn lose(&mut self, job: &JobId, item: usize, loss: Loss) {
        if let Some(outcome) = self.schedule.lose(job, item) {
            warn!(job:% = job, item = item, reason:% = loss; "jobs: gave an item up");
            self.list(job.clone(), outcome);
        }
    }

    /// Commits the result of an item.
    fn list(&mut self, job: JobId, outcome: Outcome) {
        let item = outcome.item as usize;
        self.handles.remove(&(job.clone(), item));
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
