//! Batch jobs: many items that are handed in at once and run later.

mod item;
mod outcome;
mod progress;
mod record;
mod scorer;

pub use self::{
    item::Item,
    outcome::{End, Outcome},
    progress::{Advance, Progress},
    record::Record,
    scorer::Scorer,
};

use catkinlatch_base::{JobId, ModelId, ServiceId, TeamId, Version, derive_value};

derive_value! {
    /// A batch job as it was accepted.
    pub struct Job {
        /// Identifies the job; a job that is handed in again has the same.
        pub id: JobId,
        /// The team that it belongs to.
        pub team: Option<TeamId>,
        /// The host that it was sent to, which its items are sent under.
        pub host: String,
        /// The service that runs its items.
        pub service: ServiceId,
        /// Its rank; 0 is the highest.
        pub priority: u8,
        /// The step of the trainer that waits for it.
        pub step: Option<u64>,
        /// The model that must run it.
        pub model: Option<ModelId>,
        /// The oldest version of the weights that may run it.
        pub min_version: Option<Version>,
        /// How many whole groups the trainer waits for.
        pub wanted_groups: Option<u32>,
        /// Whether each sample must be of one version.
        pub is_single_version: bool,
        /// How often an item may fail.
        pub max_attempts: u32,
        /// When it was handed in, in milliseconds since the Unix epoch.
        pub submitted_ms: u64,
        /// When its results are due, in milliseconds since the Unix epoch.
        pub due_ms: u64,
        /// From when an item may be given up, in milliseconds since the Unix epoch.
        pub give_up_ms: Option<u64>,
        /// The items.
        pub items: Vec<Item>,
    }
}

impl Job {
    /// Returns the position of an item.
    pub fn position(&self, item: &str) -> Option<usize> {
        self.items.iter().position(|other| other.id.as_str() == item)
    }
}
