//! An item that waits or runs.

use super::{Progress, is_fresh};
use crate::{Item, Job};
use catkinlatch_base::{GroupId, TargetId, Version};
use std::{collections::BTreeSet, sync::Arc};

/// How long after a run's beginning its item avoids the engine that it left, in milliseconds.
const AVOIDED_MS: u64 = 2_000;

/// An item that waits or runs.
#[derive(Clone, Debug)]
pub struct Task {
    /// The job.
    pub job: Arc<Job>,
    /// The item's position in the job.
    pub item: usize,
    /// The engine that runs it, if one does.
    pub engine: Option<TargetId>,
    /// Whether an earlier job began its group.
    pub is_carried: bool,
    /// What it has generated so far.
    pub progress: Progress,
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
            is_carried,
            progress: Progress::default(),
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

    /// Returns the tokens that it is expected to generate still.
    pub fn expected_tokens(&self) -> u64 {
        self.item().expected_tokens
    }

    /// Takes it back from its engine, to wait again.
    pub fn put_back(&mut self, progress: Progress) {
        self.engine = None;
        self.progress = progress;
    }
}
