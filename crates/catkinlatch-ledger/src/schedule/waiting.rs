//! What waiting items need of an engine, and why they wait.

use super::{Engine, Schedule, Task, crash::Permit};
use catkinlatch_base::{JobId, ModelId, ServiceId, Version};
use derive_more::Display;
use std::collections::BTreeMap;

/// What an item needs of the engine that runs it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requirement {
    /// The model.
    pub model: ModelId,
    /// The service of the engine.
    pub service: ServiceId,
    /// The oldest version of the weights that the item accepts; 0 if it accepts any.
    pub min_version: Version,
}

/// Why an item runs on no engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Obstacle {
    /// It is not known which build of the engines generated the output so far.
    #[display("the build that generated its output is not known")]
    Build,
    /// It failed just now.
    #[display("a pause after a failed run")]
    Failure,
    /// Engines crashed under it.
    #[display("a pause after engines crashed under it")]
    Crash,
    /// No engine of its service accepts items.
    #[display("no engine of its service accepts items")]
    Engine,
    /// No engine has weights that its job accepts.
    #[display("no engine has version {required} or newer, the newest is {newest}")]
    Version {
        /// The oldest version that the job accepts.
        required: Version,
        /// The newest version that an engine of the service has; 0 if none has the model.
        newest: Version,
    },
    /// The engines that could run it are full.
    #[display("the engines that could run it are full")]
    Slots,
    /// Nothing: it is its turn, as far as engines are concerned.
    #[display("its turn")]
    Turn,
}

impl Schedule {
    /// Returns the number of items that wait for an engine, by what they need of it. Items without a
    /// model, and those that may not run now since engines crashed under them, are not counted.
    pub fn waiting(&self, wall_ms: u64) -> BTreeMap<Requirement, usize> {
        let mut waiting = BTreeMap::new();
        for task in self.tasks.values().filter(|task| task.is_waiting(wall_ms)) {
            let Some(model) = task.job.model.clone() else { continue };
            if self.crashes.permit(task, wall_ms) == Permit::Wait {
                continue;
            }
            let service = task.job.service.clone();
            let min_version = task.job.min_version.unwrap_or_default();
            *waiting.entry(Requirement { model, service, min_version }).or_default() += 1;
        }
        waiting
    }

    /// Returns the item that has waited longest for an engine, counted from the submission of its
    /// job.
    pub fn longest_waiting(&self) -> Option<&Task> {
        let waiting =
            self.tasks.values().filter(|task| task.engine.is_none() && !task.is_generated);
        waiting.min_by_key(|task| task.job.submitted_ms)
    }

    /// Returns why an item runs on none of the engines; `None` if it runs, or only its score is
    /// missing.
    pub fn obstacle(
        &self,
        job: &JobId,
        item: usize,
        engines: &[Engine],
        wall_ms: u64,
    ) -> Option<Obstacle> {
        let task = self.task(job, item)?;
        if task.engine.is_some() || task.is_generated {
            return None;
        }
        if task.has_unknown_build() {
            return Some(Obstacle::Build);
        }
        if wall_ms < task.retry_at_ms {
            return Some(Obstacle::Failure);
        }
        if self.crashes.permit(task, wall_ms) == Permit::Wait {
            return Some(Obstacle::Crash);
        }
        Some(self.engine_obstacle(task, engines))
    }

    fn engine_obstacle(&self, task: &Task, engines: &[Engine]) -> Obstacle {
        let own = || engines.iter().filter(|engine| engine.service == task.job.service);
        if own().next().is_none() {
            return Obstacle::Engine;
        }
        let version = |engine: &Engine| engine.version(task.job.model.as_ref());
        let min_version = task.job.min_version;
        let mut accepted = own().filter(|own| task.accepts(version(own))).peekable();
        if accepted.peek().is_none() {
            let newest = own().filter_map(version).max().unwrap_or_default();
            return Obstacle::Version { required: min_version.unwrap_or_default(), newest };
        }
        let load = self.load();
        let running = |engine: &Engine| load.get(&engine.id).copied().unwrap_or_default();
        let is_full = accepted.all(|engine| running(engine) >= engine.slots);
        if is_full { Obstacle::Slots } else { Obstacle::Turn }
    }
}
