//! Tasks: single runs of samples.

use crate::evidence::Span;
use catkinlatch_base::{Epoch, GroupId, GroupNumber, SampleId, TrainerId, Version, derive_schema};

/// Maximum number of bytes of the trainer's name in a sample id; longer names lose their start.
const MAX_TRAINER_BYTES: usize = 48;

derive_schema! {
    /// One run of a sample.
    pub struct Task {
        /// The unique id of the run, composed of the trainer, the group's number, the index in the
        /// group, the epoch and the attempt.
        pub sample: SampleId,
        /// The id of the group that the sample belongs to.
        pub group: GroupId,
        /// The number under which the group was committed.
        pub number: GroupNumber,
        /// The index of the sample in its group, counted from 0.
        pub index: u32,
        /// The coordinator's epoch under which the run was started.
        pub epoch: Epoch,
        /// The number of the sample's earlier runs under this epoch.
        pub attempt: u32,
        /// The prompt of the sample.
        pub prompt: String,
        /// The maximum number of tokens of the sample.
        pub max_tokens: u32,
        /// The tokens of earlier runs, if any, from which this run resumes.
        pub partial: Option<Partial>,
    }
}

derive_schema! {
    /// The tokens generated so far for an incomplete sample.
    #[derive(Default)]
    pub struct Partial {
        /// The text generated so far.
        pub text: String,
        /// The weight versions that generated the tokens, in order.
        pub spans: Vec<Span>,
    }
}

impl Partial {
    /// Returns the number of tokens.
    pub fn tokens(&self) -> u64 {
        self.spans.iter().map(|span| span.tokens.get()).sum()
    }

    /// Returns the oldest version that generated a token, or `None` if there are no tokens.
    pub fn oldest(&self) -> Option<Version> {
        self.spans.iter().map(|span| span.version).min()
    }
}

/// Returns the id of a run.
pub(super) fn sample_id(
    trainer: &TrainerId,
    number: GroupNumber,
    index: u32,
    epoch: Epoch,
    attempt: u32,
) -> SampleId {
    let name = trainer.as_str();
    let name = &name[name.len().saturating_sub(MAX_TRAINER_BYTES)..];
    let text = format!("{name}/{number}.{index}.{epoch}.{attempt}");
    text.parse().expect("a trainer's name, numbers, dots and a slash are valid in an id")
}
