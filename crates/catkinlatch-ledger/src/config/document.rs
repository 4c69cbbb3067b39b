//! A configuration as it was sent.

use super::Configuration;
use bytes::Bytes;
use catkinlatch_base::derive_value;
use std::sync::Arc;

derive_value! {
    /// A configuration together with the bytes that it was read from.
    ///
    /// The bytes are given back to operators unchanged, so that nothing is lost that this release
    /// does not know.
    pub struct Document {
        /// What was understood.
        pub configuration: Arc<Configuration>,
        /// What was sent.
        pub source: Bytes,
    }
}
