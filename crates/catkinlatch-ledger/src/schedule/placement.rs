//! Selection of the engine that runs an item.

use super::{Engine, Task};
use catkinlatch_base::{GroupId, TargetId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// The slowdown of a fully loaded engine relative to an idle one, as a fraction of the time per
/// event. It is between 0.1 and 0.3 for the engines of the deployments.
const FULL_LOAD_SLOWDOWN: f64 = 0.2;

/// Tracks which items run on which engines while further items are placed one after another.
pub(super) struct Placement<'a> {
    engines: &'a [Engine],
    load: BTreeMap<TargetId, u32>,
    /// The engines that run items of a group, and have therefore processed its prompt.
    groups: BTreeMap<GroupId, BTreeSet<TargetId>>,
    /// The engines that run an item under which engines crashed.
    crash_trials: BTreeSet<TargetId>,
}

impl<'a> Placement<'a> {
    /// Creates the placement of the items that are already running.
    pub fn new<'b>(engines: &'a [Engine], tasks: impl Iterator<Item = &'b Task>) -> Self {
        let (load, groups, crash_trials) = Default::default();
        let mut placement = Self { engines, load, groups, crash_trials };
        for task in tasks {
            if let Some(engine) = &task.engine {
                placement.add(task, engine);
            }
        }
        placement
    }

    /// Records that an item runs on an engine.
    pub fn add(&mut self, task: &Task, engine: &TargetId) {
        *self.load.entry(engine.clone()).or_default() += 1;
        if task.runs_alone {
            self.crash_trials.insert(engine.clone());
        }
        if let Some(group) = task.group() {
            self.groups.entry(group.clone()).or_default().insert(engine.clone());
        }
    }

    /// Returns whether any engine has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.engines.iter().any(|engine| self.running(engine) < engine.slots)
    }

    /// Returns the engine on which an item should run, or `None` if no engine with a free slot and
    /// sufficiently new weights is available.
    ///
    /// Short items go to the engine with the lowest load relative to its speed, with a preference
    /// for engines that have processed the prompt of the item's group. Limited engines come last. Long items, which their
    /// training step waits for, go to the engine that is expected to finish them first. An item with
    /// output prefers engines that may go on after it.
    pub fn best_engine(&self, task: &Task, wall_ms: u64) -> Option<&'a Engine> {
        let model = task.job.model.as_ref();
        let fits = |engine: &&Engine| {
            engine.service == task.job.service
                && self.running(engine) < engine.slots
                && !task.avoids(&engine.id, wall_ms)
                && !(task.runs_alone && self.crash_trials.contains(&engine.id))
                && task.accepts(engine.version(model))
        };
        let group = task.group().and_then(|group| self.groups.get(group));
        let cost = |engine: &Engine| {
            let share = f64::from(self.running(engine) + 1) / f64::from(engine.slots);
            if task.is_long() {
                return ((engine.slowness * (1.0 + FULL_LOAD_SLOWDOWN * share)) * 1e6) as i64;
            }
            let share = share * engine.slowness;
            // Processing a shared prompt again costs less than one more request on an engine.
            let has_group = group.is_some_and(|engines| engines.contains(&engine.id));
            let saved = if has_group { 1.0 / f64::from(engine.slots) } else { 0.0 };
            ((share - saved) * 1e6) as i64
        };
        let engines = self.engines.iter().filter(fits);
        engines.min_by_key(|engine| {
            let begins_anew = !task.may_go_on(&engine.build);
            (begins_anew, engine.is_limited, cost(engine), Reverse(engine.version(model)))
        })
    }

    fn running(&self, engine: &Engine) -> u32 {
        self.load.get(&engine.id).copied().unwrap_or_default()
    }
}
