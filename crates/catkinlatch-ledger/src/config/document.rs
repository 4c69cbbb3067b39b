//! A configuration together with its source text.

use super::Configuration;
use bytes::Bytes;
use catkinlatch_base::derive_value;
use std::sync::Arc;

derive_value! {
    /// A configuration together with the bytes that it was decoded from.
    ///
    /// The bytes are returned to operators unchanged, so that fields that this release does not
    /// support are preserved.
    pub struct Document {
        /// The decoded configuration.
        pub configuration: Arc<Configuration>,
        /// The document as the operator sent it.
        pub source: Bytes,
    }
}

impl Document {
    /// Returns about how many bytes the configuration takes: as text, and about as many decoded.
    pub fn bytes(&self) -> usize {
        2 * self.source.len()
    }
}
