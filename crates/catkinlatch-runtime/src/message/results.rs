//! Results of a batch job.

use catkinlatch_base::{SampleId, derive_value};
use catkinlatch_ledger::Outcome;
use std::sync::Arc;

derive_value! {
    /// Consecutive results of a job.
    pub struct Results {
        /// Number of items in the job.
        pub total: u64,
        /// Position after the last result in `list`, from which to continue.
        pub next: u64,
        /// Ids and outcomes of items, in the order in which they finished.
        pub list: Vec<(SampleId, Arc<Outcome>)>,
    }
}
