//! Groups of prompts that a trainer posts.

use catkinlatch_base::{GroupId, derive_schema};

derive_schema! {
    /// A group of prompts whose samples are delivered together.
    pub struct Group {
        /// Identifies the group, so that a resend is recognized as a duplicate.
        pub id: GroupId,
        /// The prompts, one per sample.
        pub prompts: Vec<String>,
        /// The maximum number of tokens per sample.
        pub max_tokens: u32,
    }
}
