//! Processes the completion of runs and of scoring calls.

use super::{Completion, Handle, Runner};
use crate::{
    run::Summary,
    score::{self, Score},
};
use catkinlatch_base::{JobId, RunId};
use catkinlatch_ledger::{
    Command, Job, Outcome, Target,
    balancer::Verdict,
    job,
    schedule::{End, Loss, Next},
    suspect::Change,
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};

impl Runner {
    /// Processes `first` and all further completions in the queue.
    pub(super) fn process_completions(&mut self, first: Option<Completion>) {
        let mut next = first;
        while let Some(completion) = next {
            match completion {
                Completion::Ended { run, job, item, engine, summary, took } => {
                    self.process_run(job, item, run, &engine, *summary, took);
                }
                Completion::Scored { job, item, score } => {
                    if let Some(outcome) = self.schedule.complete(&job, item, score) {
                        self.commit_result(job, outcome);
                    }
                }
                Completion::NotScored { job, item, loss } => self.give_up(&job, item, loss),
            }
            next = self.completions.try_recv().ok();
        }
    }

    /// Processes the end of a run, unless the run was cancelled after it had ended.
    fn process_run(
        &mut self,
        job: JobId,
        item: usize,
        run: RunId,
        engine: &Target,
        mut summary: Summary,
        took: Duration,
    ) {
        let task = self.schedule.task_mut(&job, item).filter(|task| task.run == Some(run));
        let Some(task) = task else { return };
        summary.end = task.confirm(summary.end, summary.progress.last_event);
        info!(
            job:% = job, request:% = task.item().id, target_id:% = engine.id, end:? = summary.end,
            events = summary.progress.last_event, ms = took.as_millis() as u64,
            first_ms = summary.first_event.as_millis() as u64,
            pause_ms = summary.longest_gap.as_millis() as u64,
            reason = summary.reason.as_str();
            "jobs: run ended"
        );
        metrics::histogram!("catkinlatch_jobs_run_seconds").record(took.as_secs_f64());
        let verdict = match summary.end {
            End::Whole => Verdict::Answered(took / summary.progress.text.len().max(1) as u32),
            End::Refused => Verdict::Full,
            End::Broken | End::Unreachable | End::OtherTarget => Verdict::Failed,
            End::Unconfirmed | End::Failed | End::Impossible | End::Outdated(_) => Verdict::Unknown,
        };
        self.shared.balancer().end(&engine.id, verdict, self.host.clock.now());
        self.record_version(&job, engine, &summary);
        self.handles.remove(&(job.clone(), item));
        self.record_crash(&job, item, engine, &summary);
        if let Some(task) = self.schedule.task_mut(&job, item) {
            task.late_runs += u32::from(summary.is_late);
        }
        let Summary { end, progress, .. } = summary;
        match self.schedule.end(&job, item, run, end, progress, self.host.clock.wall_ms()) {
            Next::Nothing | Next::Again => {}
            Next::Score => self.score(job, item),
            Next::Lose(loss) => self.give_up(&job, item, loss),
        }
    }

    /// Records whether the engine may have crashed under the item, or that it ran the item to an
    /// end.
    fn record_crash(&mut self, job: &JobId, item: usize, engine: &Target, summary: &Summary) {
        if !summary.is_disconnect && self.schedule.crashes.is_empty() {
            return;
        }
        let Some(task) = self.schedule.task(job, item) else { return };
        let (id, fingerprint) = (task.item().id.clone(), task.fingerprint());
        let ran_alone = task.runs_alone;
        let boot = engine.boot();
        if summary.is_disconnect {
            let at_ms = self.host.clock.wall_ms();
            let crashes = self.schedule.crashes.record(fingerprint, boot.clone(), at_ms);
            info!(
                request:% = id, fingerprint:% = fingerprint, boot:% = boot, crashes = crashes;
                "jobs: the connection broke under an item"
            );
            self.host.change_suspects(&Change::Crashed { fingerprint, boot, ran_alone });
            return;
        }
        let has_run = match summary.end {
            End::Whole | End::Failed | End::Impossible => true,
            End::Broken
            | End::Unconfirmed
            | End::Refused
            | End::Unreachable
            | End::Outdated(_)
            | End::OtherTarget => false,
        };
        if has_run && self.schedule.crashes.clear(&fingerprint) {
            self.host.change_suspects(&Change::Clear { fingerprint });
        }
    }

    /// Records the version that an engine used in a run.
    fn record_version(&self, job: &JobId, engine: &Target, summary: &Summary) {
        let model = self
            .host
            .replica
            .read(|state| state.jobs.get(job).and_then(|record| record.job.model.clone()));
        if let (Some(model), Some(version)) = (model, summary.version) {
            self.host.soft_state().registry.record_version(engine, &model, version);
        }
    }

    /// Starts scoring a sample, or completes the item if it has no scorer.
    fn score(&mut self, id: JobId, item: usize) {
        let Some(task) = self.schedule.task(&id, item) else { return };
        let (host, shared, sender) = (self.host.clone(), self.shared.clone(), self.sender.clone());
        let job: Arc<Job> = task.job.clone();
        let key = (id, item);
        let handle = self.runs.spawn(async move {
            let scored = match &job.items[item].scorer {
                Some(scorer) => Some(score::score(&host, &shared, &job, scorer).await),
                None => None,
            };
            let job = job.id.clone();
            let completion = match scored {
                Some(Score::Signed(signature)) => {
                    Completion::Scored { job, item, score: Some(signature) }
                }
                Some(Score::Failed) => Completion::NotScored { job, item, loss: Loss::Score },
                Some(Score::Refused) => Completion::NotScored { job, item, loss: Loss::Suspect },
                None => Completion::Scored { job, item, score: None },
            };
            let _ = sender.send(completion).await;
        });
        self.handles.insert(key, Handle { task: handle, progress: None });
    }

    /// Gives up an item and commits it as lost.
    pub(super) fn give_up(&mut self, job: &JobId, item: usize, loss: Loss) {
        if let Some(outcome) = self.schedule.give_up(job, item) {
            warn!(job:% = job, item = item, reason:% = loss; "jobs: gave an item up");
            self.commit_result(job.clone(), outcome);
        }
    }

    /// Commits the result of an item in the background.
    fn commit_result(&mut self, job: JobId, outcome: Outcome) {
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
