//! A summary of the schedule for tasks other than the runner.

use catkinlatch_base::{ModelId, TargetId};
use std::collections::BTreeMap;

/// The numbers of items that wait and run.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    /// The number of items that wait for an engine, by model.
    pub waiting: BTreeMap<ModelId, usize>,
    /// The number of items that each engine runs.
    pub running: BTreeMap<TargetId, u32>,
}

impl Workload {
    /// Returns how many items of a model wait for an engine.
    pub fn waiting(&self, model: &ModelId) -> usize {
        self.waiting.get(model).copied().unwrap_or_default()
    }

    /// Returns how many items an engine runs.
    pub fn running(&self, engine: &TargetId) -> u32 {
        self.running.get(engine).copied().unwrap_or_default()
    }
}
