//! On which engine an item runs.

use super::{Engine, Task};
use catkinlatch_base::{GroupId, TargetId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// How much longer a full engine takes for each event than an idle one, as a share; the
/// deployments' engines take 0.1 to 0.3.
const LOAD_EFFECT: f64 = 0.2;

/// What runs where, while items are placed one after another.
pub(super) struct Placement<'a> {
    engines: &'a [Engine],
    load: BTreeMap<TargetId, u32>,
    /// The engines that run items of a group, and so have read its prompt.
    groups: BTreeMap<GroupId, BTreeSet<TargetId>>,
}

impl<'a> Placement<'a> {
    /// Creates the placement from the items that run.
    pub fn new<'b>(engines: &'a [Engine], tasks: impl Iterator<Item = &'b Task>) -> Self {
        let mut placement = Self { engines, load: BTreeMap::new(), groups: BTreeMap::new() };
        for task in tasks {
            if let Some(engine) = &task.engine {
                placement.put(task, engine);
            }
        }
        placement
    }

    /// Counts an item at an engine.
    pub fn put(&mut self, task: &Task, engine: &TargetId) {
        *self.load.entry(engine.clone()).or_default() += 1;
        if let Some(group) = task.group() {
            self.groups.entry(group.clone()).or_default().insert(engine.clone());
        }
    }

    /// Returns whether any engine has a free slot.
    pub fn has_room(&self) -> bool {
        self.engines.iter().any(|engine| self.running(engine) < engine.slots)
    }

    /// Returns the engine on which an item should run: one with a free slot and fresh enough
    /// weights. Short items go where the load is least for the speed, and where the group's prompt
    /// was read, if equal; long ones, which their step waits for, where they end soonest.
    pub fn best(&self, task: &Task, wall_ms: u64) -> Option<&'a Engine> {
        let model = task.job.model.as_ref();
        let fits = |engine: &&Engine| {
            engine.service == task.job.service
                && self.running(engine) < engine.slots
                && !task.avoids(&engine.id, wall_ms)
                && task.accepts(engine.version(model))
        };
        let group = task.group().and_then(|group| self.groups.get(group));
        let cost = |engine: &Engine| {
            let share = f64::from(self.running(engine) + 1) / f64::from(engine.slots);
            if task.is_long() {
                return ((engine.slowness * (1.0 + LOAD_EFFECT * share)) * 1e6) as i64;
            }
            let share = share * engine.slowness;
            // Another read of a shared prompt costs less than one more request at an engine.
            let has_group = group.is_some_and(|engines| engines.contains(&engine.id));
            let saved = if has_group { 1.0 / f64::from(engine.slots) } else { 0.0 };
            ((share - saved) * 1e6) as i64
        };
        let engines = self.engines.iter().filter(fits);
        engines.min_by_key(|engine| (cost(engine), Reverse(engine.version(model))))
    }

    fn running(&self, engine: &Engine) -> u32 {
        self.load.get(&engine.id).copied().unwrap_or_default()
    }
}
