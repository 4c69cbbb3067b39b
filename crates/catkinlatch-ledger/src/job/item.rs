//! A single request of a batch job.

use super::Scorer;
use bytes::Bytes;
use catkinlatch_base::{GroupId, SampleId, derive_value};

derive_value! {
    /// A single request of a batch job.
    pub struct Item {
        /// The id of the item, which is also the id of its request.
        pub id: SampleId,
        /// The path of the request.
        pub path: String,
        /// The names and values of the request's headers.
        pub headers: Vec<(String, String)>,
        /// The body of the request.
        pub body: Bytes,
        /// The group of items that share a prompt, if the item belongs to one.
        pub group: Option<GroupId>,
        /// The expected length of the output, in tokens; 0 if unknown.
        pub expected_tokens: u64,
        /// The maximum number of tokens of the prompt and the output together.
        pub most_tokens: u64,
        /// The request that scores the output; `None` if the item needs no score.
        pub scorer: Option<Scorer>,
    }
}

/// About how many bytes an item takes beside its texts.
const ITEM_BYTES: usize = 256;

impl Item {
    /// Returns about how many bytes the item takes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        let scorer = self.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
        ITEM_BYTES + self.path.len() + self.body.len() + headers.sum::<usize>() + scorer
    }
}
