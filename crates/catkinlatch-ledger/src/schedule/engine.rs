//! An engine as the schedule sees it.

use catkinlatch_base::{ModelId, ServiceId, TargetId, Version};
use std::collections::BTreeMap;

/// An engine that takes new items now.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Identifies the engine.
    pub id: TargetId,
    /// The service that it provides.
    pub service: ServiceId,
    /// How many items it may run at once.
    pub slots: u32,
    /// The time that it takes for an item, as a multiple of what its fellows take.
    pub slowness: f64,
    /// The versions that it holds.
    pub models: BTreeMap<ModelId, Version>,
}

impl Engine {
    /// Returns the version that it holds of a model.
    pub fn version(&self, model: Option<&ModelId>) -> Option<Version> {
        self.models.get(model?).copied()
    }
}
