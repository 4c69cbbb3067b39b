//! The record of a request that an engine completed.

use catkinlatch_base::{RequestId, Version, derive_schema};

derive_schema! {
    /// A request that an engine completed.
    pub struct Record {
        /// The id of the request.
        pub request: RequestId,
        /// The versions of the weights that generated tokens of the answer, in order.
        pub versions: Vec<Version>,
        /// Number of tokens in the prompt.
        pub prompt_tokens: u64,
        /// Number of tokens in the answer, including those of another engine that it resumed.
        pub completion_tokens: u64,
        /// Whether a header of the request contained a caller's API key.
        pub saw_caller_key: bool,
    }
}
