//! One run of a sample.

use crate::evidence::Span;
use catkinlatch_base::{Epoch, GroupId, GroupNumber, SampleId, TrainerId, Version, derive_schema};

/// The most bytes of a trainer's name in a sample id.
const TRAINER_BYTES: usize = 48;

derive_schema! {
    /// One run of a sample.
    pub struct Task {
        /// The run's id, which no other run has: it names the trainer, the group's number, the
        /// place in the group, the epoch and the attempt.
        pub sample: SampleId,
        /// The group that it belongs to.
        pub group: GroupId,
        /// The group's number.
        pub number: GroupNumber,
        /// Its place in the group.
        pub index: u32,
        /// The coordinator's epoch under which it was started.
        pub epoch: Epoch,
        /// Counts the runs of this place in the group under that epoch.
        pub attempt: u32,
        /// The prompt.
        pub prompt: String,
        /// The most tokens that it may have.
        pub max_tokens: u32,
        /// The tokens that earlier runs left, from which this one goes on.
        pub partial: Option<Partial>,
    }
}

derive_schema! {
    /// Tokens of a sample that is not complete.
    #[derive(Default)]
    pub struct Partial {
        /// The text so far.
        pub text: String,
        /// The versions that produced it.
        pub spans: Vec<Span>,
    }
}

impl Partial {
    /// Returns how many tokens there are.
    pub fn tokens(&self) -> u64 {
        self.spans.iter().map(|span| span.tokens.get()).sum()
    }

    /// Returns the oldest version that produced a token.
    pub fn oldest(&self) -> Option<Version> {
        self.spans.iter().map(|span| span.version).min()
    }
}

/// Makes the id of a run.
pub(super) fn sample_id(
    trainer: &TrainerId,
    number: GroupNumber,
    index: u32,
    epoch: Epoch,
    attempt: u32,
) -> SampleId {
    let name = trainer.as_str();
    let name = &name[name.len().saturating_sub(TRAINER_BYTES)..];
    let text = format!("{name}/{number}.{index}.{epoch}.{attempt}");
    text.parse().expect("a trainer's name, numbers, dots and a slash are valid in an id")
}
