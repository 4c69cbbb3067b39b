//! How much work there is, as those who do not schedule it see it.

use catkinlatch_base::{ModelId, TargetId};
use std::collections::BTreeMap;

/// How much work there is.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Items that wait for an engine, by model.
    pub waiting: BTreeMap<ModelId, usize>,
    /// Items that engines run.
    pub running: BTreeMap<TargetId, u32>,
}

impl Work {
    /// Returns how many items of a model wait.
    pub fn waiting(&self, model: &ModelId) -> usize {
        self.waiting.get(model).copied().unwrap_or_default()
    }

    /// Returns how many items an engine runs.
    pub fn running(&self, engine: &TargetId) -> u32 {
        self.running.get(engine).copied().unwrap_or_default()
    }
}
