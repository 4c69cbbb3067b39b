//! Trainers, which consume batches of samples and publish weights.

use catkinlatch_base::{ModelId, RouteId, TeamId, TrainerId, derive_schema};

derive_schema! {
    /// A trainer of a model.
    pub struct Trainer {
        /// Unique name of the trainer.
        pub id: TrainerId,
        /// Team that its samples are billed to; the trainer must present an API key of this team.
        pub team: TeamId,
        /// Model that it trains.
        pub model: ModelId,
        /// Share of the engines relative to the weights of the other trainers.
        pub weight: u32,
        /// Number of samples per batch.
        pub batch_samples: u32,
        /// How many versions a sample may lag behind the trainer's newest version.
        pub max_age_versions: u64,
        /// Route to the plain service that scores samples; absent if samples are not scored.
        pub scorer: Option<RouteId>,
    }
}

impl Trainer {
    /// Creates a trainer with weight 1, a maximum age of 1 version and no scorer.
    pub fn new(id: TrainerId, team: TeamId, model: ModelId, batch_samples: u32) -> Self {
        Self { id, team, model, weight: 1, batch_samples, max_age_versions: 1, scorer: None }
    }

    /// Sets how many versions a sample may lag behind the trainer's newest version.
    pub fn with_max_age_versions(self, max_age_versions: u64) -> Self {
        Self { max_age_versions, ..self }
    }
}
