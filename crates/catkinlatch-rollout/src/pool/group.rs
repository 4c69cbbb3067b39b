//! Groups of prompts as a trainer posts them.

use super::Task;
use catkinlatch_base::{GroupId, derive_schema};

derive_schema! {
    /// A group of prompts that is sampled whole.
    pub struct Group {
        /// Identifies the group, so that a resend is recognised.
        pub id: GroupId,
        /// The prompts, one a sample.
        pub prompts: Vec<String>,
        /// The most tokens that a sample may have.
        pub max_tokens: u32,
    }
}

impl Group {
    /// Returns one task for each prompt.
    pub fn tasks(&self) -> impl Iterator<Item = Task> {
        self.prompts.iter().enumerate().map(|(index, prompt)| {
            Task::new(self.id.clone(), index, prompt.clone(), self.max_tokens)
        })
    }
}
