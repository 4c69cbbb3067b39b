//! What an engine ran.

use catkinlatch_base::{RequestId, Version, derive_schema};

derive_schema! {
    /// One request that an engine ran.
    pub struct Record {
        /// The request.
        pub request: RequestId,
        /// Each version that produced tokens of the answer, in order.
        pub versions: Vec<Version>,
        /// Tokens read.
        pub prompt_tokens: u64,
        /// Tokens generated.
        pub completion_tokens: u64,
        /// Whether a caller's key came with the request.
        pub saw_caller_key: bool,
    }
}
