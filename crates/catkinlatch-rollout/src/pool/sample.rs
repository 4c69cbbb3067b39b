//! One sample and the evidence of what produced it.

use catkinlatch_base::{GroupId, SampleId, Tokens, Version, derive_schema};

derive_schema! {
    /// A sample to run.
    pub struct Task {
        /// The sample's id: new for each try that starts anew.
        pub sample: SampleId,
        /// The group that it belongs to.
        pub group: GroupId,
        /// Its place in the group.
        pub index: usize,
        /// How often it was started anew.
        pub attempt: u32,
        /// The prompt.
        pub prompt: String,
        /// The most tokens that it may have.
        pub max_tokens: u32,
    }
}

impl Task {
    /// Creates the first try of a sample.
    pub fn new(group: GroupId, index: usize, prompt: String, max_tokens: u32) -> Self {
        let sample = sample_id(&group, index, 0);
        Self { sample, group, index, attempt: 0, prompt, max_tokens }
    }

    /// Creates the next try under a new id.
    pub fn again(self) -> Self {
        let attempt = self.attempt + 1;
        Self { sample: sample_id(&self.group, self.index, attempt), attempt, ..self }
    }
}

derive_schema! {
    /// What engines reported about a sample.
    pub struct Evidence {
        /// Each version that produced tokens of it, in order.
        pub versions: Vec<Version>,
        /// Tokens read.
        pub prompt_tokens: Tokens,
        /// Tokens generated.
        pub completion_tokens: Tokens,
    }
}

impl Evidence {
    /// Returns the oldest version.
    pub fn oldest(&self) -> Option<Version> {
        self.versions.iter().min().copied()
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<Version> {
        self.versions.iter().max().copied()
    }
}

derive_schema! {
    /// A sample that is complete.
    pub struct Sample {
        /// What was asked.
        pub task: Task,
        /// What was generated.
        pub text: String,
        /// What produced it.
        pub evidence: Evidence,
    }
}

/// Makes the id of a try.
fn sample_id(group: &GroupId, index: usize, attempt: u32) -> SampleId {
    let text = format!("{group}:{index}:{attempt}");
    let start = text.len().saturating_sub(catkinlatch_base::MAX_TEXT_BYTES);
    text[start..].parse().expect("a group id, two numbers and colons are valid in an id")
}
