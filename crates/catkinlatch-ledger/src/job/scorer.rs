//! The call that scores a sample.

use bytes::Bytes;
use catkinlatch_base::{RequestId, derive_value};

derive_value! {
    /// The call that scores a sample.
    pub struct Scorer {
        /// Identifies the call.
        pub id: RequestId,
        /// The host whose routes lead to the service.
        pub host: String,
        /// The path of the call.
        pub path: String,
        /// The body of the call.
        pub body: Bytes,
    }
}
