//! The request that scores a sample.

use bytes::Bytes;
use catkinlatch_base::{RequestId, derive_value};

derive_value! {
    /// The request that scores a sample.
    pub struct Scorer {
        /// The id of the request.
        pub id: RequestId,
        /// The HTTP host name, whose routes select the scoring service.
        pub host: String,
        /// The path of the request.
        pub path: String,
        /// The body of the request.
        pub body: Bytes,
    }
}
