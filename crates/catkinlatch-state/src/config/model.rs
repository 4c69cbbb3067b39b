//! Models that engines serve.

use catkinlatch_base::{ModelId, TrainerId, Version, ZoneId, derive_schema};

derive_schema! {
    /// A model.
    pub struct Model {
        /// The name.
        pub id: ModelId,
        /// The trainer that publishes its weights, if it is being trained.
        pub trainer: Option<TrainerId>,
        /// How many targets placement keeps for live requests even when a zone is lost.
        pub live_floor: u32,
        /// The version that engines shall serve, if no trainer publishes one.
        pub version: Option<Version>,
        /// The zones in which its engines may run; all that are in use if empty.
        pub zones: Vec<ZoneId>,
    }
}

impl Model {
    /// Creates a model that nobody trains.
    pub fn new(id: ModelId) -> Self {
        Self { id, trainer: None, live_floor: 0, version: None, zones: Vec::new() }
    }

    /// Sets the trainer that publishes the model's weights.
    pub fn with_trainer(self, trainer: TrainerId) -> Self {
        Self { trainer: Some(trainer), ..self }
    }

    /// Sets how many targets placement keeps for live requests even when a zone is lost.
    pub fn with_live_floor(self, live_floor: u32) -> Self {
        Self { live_floor, ..self }
    }

    /// Sets the zones in which its engines may run.
    pub fn with_zones(self, zones: Vec<ZoneId>) -> Self {
        Self { zones, ..self }
    }
}
