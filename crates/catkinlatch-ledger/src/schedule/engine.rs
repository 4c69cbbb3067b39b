//! The attributes of an engine that the schedule depends on.

use catkinlatch_base::{BuildId, ModelId, ServiceId, TargetId, Version};
use std::collections::BTreeMap;

/// An engine that currently accepts new items.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The id of the engine.
    pub id: TargetId,
    /// The service that the engine provides.
    pub service: ServiceId,
    /// The build of the engine's software.
    pub build: BuildId,
    /// The maximum number of items that the engine runs concurrently.
    pub slots: u32,
    /// The engine's mean latency, as a multiple of the median of all engines.
    pub slowness: f64,
    /// Whether the engine is limited in what it may get, so that items are placed on it only if no other one has room.
    pub is_limited: bool,
    /// The version of the weights that the engine has loaded, by model.
    pub models: BTreeMap<ModelId, Version>,
}

impl Engine {
    /// Returns the loaded version of a model; `None` if the model is `None` or not loaded.
    pub fn version(&self, model: Option<&ModelId>) -> Option<Version> {
        self.models.get(model?).copied()
    }
}
