//! Completed samples.

use super::Task;
use crate::Evidence;
use catkinlatch_base::derive_schema;

derive_schema! {
    /// A completed sample.
    pub struct Sample {
        /// The run that completed the sample.
        pub task: Task,
        /// The generated text, including that of earlier runs.
        pub text: String,
        /// The weight versions and token counts that engines reported for the sample.
        pub evidence: Evidence,
    }
}
