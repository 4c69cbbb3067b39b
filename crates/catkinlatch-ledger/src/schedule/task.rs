//! An item that waits or runs.

use super::{End, Loss, Next, is_fresh};
use crate::{
    Item, Job,
    job::{Advance, Progress},
};
use catkinlatch_base::{GroupId, RunId, TargetId, Version};
use std::{collections::BTreeSet, sync::Arc};

/// How long after a run's beginning its item avoids the engine that it left, in milliseconds.
const AVOIDED_MS: u64 = 2_000;

/// How long an item runs before its progress is recorded, in milliseconds: most end sooner, and
/// are soon run again.
const RECORDED_AFTER_MS: u64 = 1_000;

/// How many more events are worth a record: about a fifth of a second at a full engine.
const RECORDED_EVENTS: u64 = 6;

/// How long an item rests after it failed, in milliseconds: the engine may fail for it alone.
const FAILURE_REST_MS: u64 = 100;

/// An item that waits or runs.
#[derive(Clone, Debug)]
pub struct Task {
    /// The job.
    pub job: Arc<Job>,
    /// The item's position in the job.
    pub item: usize,
    /// The engine that runs it, if one does.
    pub engine: Option<TargetId>,
    /// Its present run, if it runs.
    pub run: Option<RunId>,
    /// Whether an earlier job began its group.
    pub is_carried: bool,
    /// Whether it is expected to take longer than most of its job.
    pub is_long: bool,
    /// What it has generated so far.
    pub progress: Progress,
    /// The last event of the progress that was recorded, to outlast this leader.
    pub recorded_event: u64,
    /// Whether its text is whole, so that only its score is missing.
    pub is_generated: bool,
    /// How often it failed.
    pub failures: u32,
    /// Engines that it left since a run of it last ended.
    pub refused: BTreeSet<TargetId>,
    /// How often it was moved away from a slow engine.
    pub moves: u32,
    /// When its present run began, in milliseconds since the Unix epoch.
    pub began_ms: u64,
    /// Until when it rests, in milliseconds since the Unix epoch.
    pub rests_until_ms: u64,
}

impl Task {
    /// Creates a task that waits.
    pub fn new(job: Arc<Job>, item: usize, is_carried: bool) -> Self {
        Self {
            job,
            item,
            engine: None,
            run: None,
            is_carried,
            is_long: false,
            progress: Progress::default(),
            recorded_event: 0,
            is_generated: false,
            failures: 0,
            refused: BTreeSet::new(),
            moves: 0,
            began_ms: 0,
            rests_until_ms: 0,
        }
    }

    /// Returns the item.
    pub fn item(&self) -> &Item {
        &self.job.items[self.item]
    }

    /// Returns the group that shares the item's prompt.
    pub fn group(&self) -> Option<&GroupId> {
        self.item().group.as_ref()
    }

    /// Returns whether it waits for an engine.
    pub fn is_waiting(&self, wall_ms: u64) -> bool {
        self.engine.is_none() && !self.is_generated && wall_ms >= self.rests_until_ms
    }

    /// Returns whether the engine refused it, or lost it, so lately that another is better.
    pub fn avoids(&self, engine: &TargetId, wall_ms: u64) -> bool {
        wall_ms < self.began_ms + AVOIDED_MS && self.refused.contains(engine)
    }

    /// Returns whether an engine that holds the version may run it.
    pub fn accepts(&self, version: Option<Version>) -> bool {
        is_fresh(version, self.job.min_version)
    }

    /// Returns whether it is expected to run for long, or was moved since it did.
    pub fn is_long(&self) -> bool {
        self.is_long || self.moves > 0
    }

    /// Returns the tokens that it is expected to generate still.
    pub fn expected_tokens(&self) -> u64 {
        self.item().expected_tokens
    }

    /// Goes on from the progress that an earlier leader recorded.
    pub fn resume(&mut self, progress: Progress) {
        self.recorded_event = progress.last_event;
        self.progress = progress;
    }

    /// Drops its progress, to begin anew.
    fn restart(&mut self) {
        self.progress = Progress::default();
        self.recorded_event = 0;
    }

    /// Returns what is to be recorded of its present run's progress, and takes it as recorded:
    /// what is new of a long item.
    pub fn advance(&mut self, progress: &Progress, wall_ms: u64) -> Option<Advance> {
        let after = self.recorded_event;
        let is_long = after > 0 || wall_ms >= self.began_ms + RECORDED_AFTER_MS;
        if !is_long || progress.last_event < after + RECORDED_EVENTS {
            return None;
        }
        self.recorded_event = progress.last_event;
        let (job, item) = (self.job.id.clone(), self.item as u32);
        Some(Advance { job, item, after, progress: progress.since(after) })
    }

    /// Takes it back from its engine, to wait again; returns the engine.
    pub fn put_back(&mut self, progress: Progress) -> Option<TargetId> {
        self.run = None;
        self.progress = progress;
        self.engine.take()
    }

    /// Cuts its run, to go on at another engine; returns the one that it leaves.
    pub fn cut(&mut self, progress: Progress) -> Option<TargetId> {
        let engine = self.put_back(progress);
        self.refused.extend(engine.clone());
        self.moves += 1;
        engine
    }

    /// Takes the end of its run, and decides what follows.
    pub(super) fn end(&mut self, end: End, progress: Progress, wall_ms: u64) -> Next {
        self.put_back(progress);
        self.refused.clear();
        match end {
            End::Whole if self.is_acceptable() => {
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
                self.rests_until_ms = wall_ms + FAILURE_REST_MS;
                let is_over = self.failures >= self.job.max_attempts;
                if is_over { Next::Lose(Loss::Failures) } else { Next::Again }
            }
            End::Impossible => Next::Lose(Loss::Impossible),
            End::Broken | End::Refused | End::Unreachable | End::Outdated(_) | End::OtherTarget => {
                Next::Again
            }
        }
    }

    /// Returns whether its text may be listed: of one version, where the job asks for that.
    fn is_acceptable(&self) -> bool {
        !self.job.is_single_version || self.progress.versions.len() <= 1
    }
}
