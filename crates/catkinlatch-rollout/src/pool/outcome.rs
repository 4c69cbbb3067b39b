//! What becomes of a run that ended.

use crate::evidence::Fault;
use catkinlatch_base::SampleId;

/// What became of the answer to a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The sample is complete.
    Kept {
        /// Other runs of the same sample, which are to be cancelled.
        cancel: Vec<SampleId>,
    },
    /// The run was given up, belongs to an earlier epoch, or a twin came first.
    Unknown,
    /// The engine's report is no evidence; the sample runs again.
    Unproven(Fault),
    /// The sample is too old; it runs again.
    TooOld,
}
