//! Results of a job.

use catkinlatch_base::{SampleId, derive_value};
use catkinlatch_ledger::Outcome;
use std::sync::Arc;

derive_value! {
    /// Results of a job from a position on.
    pub struct Results {
        /// How many items the job has.
        pub total: u64,
        /// The position after the last result here.
        pub next: u64,
        /// The results with the ids of their items.
        pub list: Vec<(SampleId, Arc<Outcome>)>,
    }
}
