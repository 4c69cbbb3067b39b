//! Trainers that take batches of samples and publish weights.

use catkinlatch_base::{ModelId, RouteId, TeamId, TrainerId, derive_schema};

derive_schema! {
    /// A trainer.
    pub struct Trainer {
        /// The name.
        pub id: TrainerId,
        /// The team that its samples are billed to; the trainer presents a key of this team.
        pub team: TeamId,
        /// The model that it trains.
        pub model: ModelId,
        /// The trainer's share of the engines, against the weights of the other trainers.
        pub weight: u32,
        /// How many samples a batch holds.
        pub batch_samples: u32,
        /// How many versions a sample may lie behind the trainer's newest.
        pub max_age_versions: u64,
        /// The plain service that scores samples, if any.
        pub scorer: Option<RouteId>,
    }
}

impl Trainer {
    /// Creates a trainer of weight 1.
    pub fn new(id: TrainerId, team: TeamId, model: ModelId, batch_samples: u32) -> Self {
        Self { id, team, model, weight: 1, batch_samples, max_age_versions: 1, scorer: None }
    }

    /// Sets how many versions a sample may lie behind the trainer's newest.
    pub fn with_max_age_versions(self, max_age_versions: u64) -> Self {
        Self { max_age_versions, ..self }
    }
}
