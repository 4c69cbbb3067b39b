//! Models that engines serve.

use catkinlatch_base::{ModelId, TrainerId, Version, ZoneId, derive_schema};

derive_schema! {
    /// A model that callers may request and that a trainer may train.
    pub struct Model {
        /// Unique name of the model.
        pub id: ModelId,
        /// Trainer that publishes its weights; absent if the model is not being trained.
        pub trainer: Option<TrainerId>,
        /// Minimum number of targets for live requests that placement preserves even if a zone
        /// fails.
        pub live_floor: u32,
        /// Version that engines serve if no trainer publishes one.
        pub version: Option<Version>,
        /// Zones in which its engines may run; if empty, all zones that are in use.
        pub zones: Vec<ZoneId>,
    }
}

impl Model {
    /// Creates a model without a trainer.
    pub fn new(id: ModelId) -> Self {
        Self { id, trainer: None, live_floor: 0, version: None, zones: Vec::new() }
    }

    /// Sets the trainer that publishes the model's weights.
    pub fn with_trainer(self, trainer: TrainerId) -> Self {
        Self { trainer: Some(trainer), ..self }
    }

    /// Sets the minimum number of targets for live requests that placement preserves even if a zone
    /// fails.
    pub fn with_live_floor(self, live_floor: u32) -> Self {
        Self { live_floor, ..self }
    }

    /// Sets the zones in which engines of the model may run.
    pub fn with_zones(self, zones: Vec<ZoneId>) -> Self {
        Self { zones, ..self }
    }
}
