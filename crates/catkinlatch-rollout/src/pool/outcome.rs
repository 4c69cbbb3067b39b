//! Outcomes of answers to runs.

use crate::evidence::Fault;
use catkinlatch_base::SampleId;

/// The outcome of an answer to a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer completes the sample.
    Kept {
        /// Other runs of the same sample, which are to be cancelled.
        cancel: Vec<SampleId>,
    },
    /// The run was dropped, belongs to an earlier epoch, or another run of the sample was first.
    Unknown,
    /// The engine's report is not valid evidence; the sample runs again.
    NoEvidence(Fault),
    /// A token is older than the version bound allows; the sample runs again.
    TooOld,
}
