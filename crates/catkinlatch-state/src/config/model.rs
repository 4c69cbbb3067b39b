//! Models that engines serve.

use catkinlatch_base::{ModelId, TrainerId, derive_schema};

derive_schema! {
    /// A model.
    pub struct Model {
        /// The name.
        pub id: ModelId,
        /// The trainer that publishes its weights, if it is being trained.
        pub trainer: Option<TrainerId>,
        /// How many targets placement keeps for live requests even when a zone is lost.
        pub live_floor: u32,
    }
}

impl Model {
    /// Creates a model that nobody trains.
    pub fn new(id: ModelId) -> Self {
        Self { id, trainer: None, live_floor: 0 }
    }

    /// Sets the trainer that publishes the model's weights.
    pub fn with_trainer(self, trainer: TrainerId) -> Self {
        Self { trainer: Some(trainer), ..self }
    }
}
