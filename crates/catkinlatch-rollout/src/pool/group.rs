//! Groups of prompts as a trainer posts them.

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
