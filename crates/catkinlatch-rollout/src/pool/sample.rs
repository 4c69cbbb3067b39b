//! Samples that are complete.

use super::Task;
use crate::Evidence;
use catkinlatch_base::derive_schema;

derive_schema! {
    /// A sample that is complete.
    pub struct Sample {
        /// The run that completed it.
        pub task: Task,
        /// What was generated, the tokens of earlier runs included.
        pub text: String,
        /// What produced it.
        pub evidence: Evidence,
    }
}
