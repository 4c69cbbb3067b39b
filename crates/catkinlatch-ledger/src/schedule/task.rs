//! The scheduling state of a single item.

use super::{End, Loss, Next, satisfies_min_version};
use crate::{
    Item, Job,
    job::{Advance, Progress},
};
use catkinlatch_base::{BuildId, GroupId, RunId, TargetId, TeamId, Version};
use catkinlatch_state::suspect::Fingerprint;
use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
};

/// How long after the start of its last run an item avoids the engines that it left.
const AVOID_MS: u64 = 2_000;

/// The run time from which the progress of an item is recorded. Most items end sooner, and are
/// quickly run again if their progress is lost.
const MIN_RECORDED_RUN_MS: u64 = 1_000;

/// The minimum number of new events for a record of progress. A fully loaded engine takes about
/// 200 ms for these.
const MIN_RECORDED_EVENTS: u64 = 6;

/// The delay before an item is run again after a failure, which may be specific to the item rather
/// than to the engine.
const FAILURE_BACKOFF_MS: u64 = 100;

/// An item that waits or runs, or whose output is being scored.
#[derive(Clone, Debug)]
pub struct Task {
    /// The job of the item.
    pub job: Arc<Job>,
    /// The item's position in the job.
    pub item: usize,
    /// The engine that runs the item, if one does.
    pub engine: Option<TargetId>,
    /// The current run, if the item runs.
    pub run: Option<RunId>,
    /// Whether the item's group is carried over from an earlier job.
    pub is_carried: bool,
    /// Whether the expected output is longer than the mean of the job.
    pub is_long: bool,
    /// The output generated so far, as of the end of the last run.
    pub progress: Progress,
    /// The build of the engines that generated the output so far; `None` if there is no output, or it
    /// is not known since an earlier leader ran the item.
    pub build: Option<BuildId>,
    /// The id of the last event whose progress was proposed for the replicated state, where the
    /// next leader finds it.
    pub recorded_event: u64,
    /// Whether the item runs on no engine with another item of which this is true, since engines
    /// crashed under it.
    pub runs_alone: bool,
    /// Whether the output is complete, so that only the score is missing.
    pub is_generated: bool,
    /// The number of failed runs.
    pub failures: u32,
    /// The number of runs that were given up since the next event was late.
    pub late_runs: u32,
    /// The engines from which the item was moved away since a run of it last ended by itself.
    pub left_engines: BTreeSet<TargetId>,
    /// The number of times that the item was moved away from a slow engine.
    pub moves: u32,
    /// When the current or else the last run started, in milliseconds since the Unix epoch.
    pub began_ms: u64,
    /// When the item may be run again after a failure, in milliseconds since the Unix epoch.
    pub retry_at_ms: u64,
    /// The last event of a stream that ended with its connection.
    ended_after: Option<u64>,
    /// The item's fingerprint, once it was asked for.
    fingerprint: OnceLock<Fingerprint>,
}

impl Task {
    /// Creates a task that waits for its first run.
    pub fn new(job: Arc<Job>, item: usize, is_carried: bool) -> Self {
        Self {
            job,
            item,
            engine: None,
            run: None,
            is_carried,
            is_long: false,
            progress: Progress::default(),
            build: None,
            recorded_event: 0,
            runs_alone: false,
            is_generated: false,
            failures: 0,
            late_runs: 0,
            left_engines: BTreeSet::new(),
            moves: 0,
            began_ms: 0,
            retry_at_ms: 0,
            ended_after: None,
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns the item.
    pub fn item(&self) -> &Item {
        &self.job.items[self.item]
    }

    /// Returns the fingerprint of the item's content, by which it is recognized in another job.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let team = self.job.team.as_ref().map_or("", TeamId::as_str);
            let (service, item) = (self.job.service.as_str(), self.item());
            Fingerprint::of_request([team, service, "POST", &item.path], &item.body)
        })
    }

    /// Returns the group of items that share the item's prompt.
    pub fn group(&self) -> Option<&GroupId> {
        self.item().group.as_ref()
    }

    /// Returns whether the item is ready to run and waits for an engine.
    pub fn is_waiting(&self, wall_ms: u64) -> bool {
        let is_ready = self.engine.is_none() && !self.is_generated && !self.has_unknown_build();
        is_ready && wall_ms >= self.retry_at_ms
    }

    /// Returns whether the item left the engine so recently that another one is preferred.
    pub fn avoids(&self, engine: &TargetId, wall_ms: u64) -> bool {
        wall_ms < self.began_ms + AVOID_MS && self.left_engines.contains(engine)
    }

    /// Returns whether an engine that has loaded the version may run the item.
    pub fn accepts(&self, version: Option<Version>) -> bool {
        satisfies_min_version(version, self.job.min_version)
    }

    /// Returns whether the item is expected to run for long, or has been moved to another
    /// engine.
    pub fn is_long(&self) -> bool {
        self.is_long || self.moves > 0
    }

    /// Returns the expected length of the item's output, in tokens.
    pub fn expected_tokens(&self) -> u64 {
        self.item().expected_tokens
    }

    /// Continues from the progress that an earlier leader recorded, once its build is known.
    pub fn resume(&mut self, progress: Progress) {
        self.recorded_event = progress.last_event;
        self.progress = progress;
    }

    /// Returns whether there is output of which the build is not known.
    pub(super) fn has_unknown_build(&self) -> bool {
        self.progress.last_event > 0 && self.build.is_none()
    }

    /// Returns whether engines of a build may go on after the output so far.
    pub fn may_go_on(&self, build: &BuildId) -> bool {
        self.progress.last_event == 0 || self.build.as_ref() == Some(build)
    }

    /// Prepares a run on an engine of a build, which begins anew if another build generated the output
    /// so far.
    pub(super) fn prepare(&mut self, build: &BuildId) {
        if !self.may_go_on(build) {
            self.restart();
        }
        self.build = Some(build.clone());
    }

    /// Drops the progress, so that the next run starts from the beginning.
    pub(super) fn restart(&mut self) {
        self.progress = Progress::default();
        (self.recorded_event, self.ended_after) = (0, None);
    }

    /// Returns how a run ended, given how the one before did: an unconfirmed end after `last_event` is
    /// confirmed by a second one.
    pub fn confirm(&mut self, end: End, last_event: u64) -> End {
        if end != End::Unconfirmed {
            return end;
        }
        let is_second = self.ended_after.replace(last_event) == Some(last_event);
        if is_second { End::Whole } else { End::Unconfirmed }
    }

    /// Returns the new part of the current run's progress and marks it as recorded, or returns
    /// `None` if the item has not run for long or has generated too little since the last record.
    pub fn take_unrecorded(&mut self, progress: &Progress, wall_ms: u64) -> Option<Advance> {
        let after = self.recorded_event;
        let is_long = after > 0 || wall_ms >= self.began_ms + MIN_RECORDED_RUN_MS;
        if !is_long || progress.last_event < after + MIN_RECORDED_EVENTS {
            return None;
        }
        self.recorded_event = progress.last_event;
        let (job, item) = (self.job.id.clone(), self.item as u32);
        Some(Advance { job, item, after, progress: progress.since(after) })
    }

    /// Returns the item to the waiting state, and returns the engine that ran it.
    pub fn requeue(&mut self, progress: Progress) -> Option<TargetId> {
        self.run = None;
        self.progress = progress;
        self.engine.take()
    }

    /// Aborts the current run so that the item resumes on another engine, and returns the engine
    /// that it leaves.
    pub fn preempt(&mut self, progress: Progress) -> Option<TargetId> {
        let engine = self.requeue(progress);
        self.left_engines.extend(engine.clone());
        self.moves += 1;
        engine
    }

    /// Records the end of the current run, and returns the action that follows.
    pub(super) fn end(&mut self, end: End, progress: Progress, wall_ms: u64) -> Next {
        self.requeue(progress);
        self.left_engines.clear();
        match end {
            End::Whole if self.has_allowed_versions() => {
                self.is_generated = true;
                Next::Score
            }
            End::Whole => {
                self.restart();
                Next::Again
            }
            End::Failed => {
                self.failures += 1;
                self.restart();
                self.retry_at_ms = wall_ms + FAILURE_BACKOFF_MS;
                let is_exhausted = self.failures >= self.job.max_attempts;
                if is_exhausted { Next::Lose(Loss::Failures) } else { Next::Again }
            }
            End::Impossible => Next::Lose(Loss::Impossible),
            End::Broken
            | End::Unconfirmed
            | End::Refused
            | End::Unreachable
            | End::Outdated(_)
            | End::OtherTarget => Next::Again,
        }
    }

    /// Returns whether the output may become a result: it must be from a single version of the
    /// weights if the job requires that.
    fn has_allowed_versions(&self) -> bool {
        !self.job.is_single_version || self.progress.versions.len() <= 1
    }
}
