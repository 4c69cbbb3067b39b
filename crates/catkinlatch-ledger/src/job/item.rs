//! One request of a batch job.

use super::Scorer;
use bytes::Bytes;
use catkinlatch_base::{GroupId, SampleId, derive_value};

derive_value! {
    /// One request of a batch job.
    pub struct Item {
        /// Identifies the item and its request.
        pub id: SampleId,
        /// The path of its request.
        pub path: String,
        /// The headers of its request, by name.
        pub headers: Vec<(String, String)>,
        /// The body of its request.
        pub body: Bytes,
        /// The group that shares its prompt.
        pub group: Option<GroupId>,
        /// The tokens that it is expected to generate.
        pub expected_tokens: u64,
        /// The tokens of its prompt and of the longest output.
        pub most_tokens: u64,
        /// The call that scores its text.
        pub scorer: Option<Scorer>,
    }
}
