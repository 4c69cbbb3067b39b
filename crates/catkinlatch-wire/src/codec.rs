//! Binary encoding of typed messages.

use bincode::{config, error::DecodeError, serde as codec};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Encodes a message.
///
/// # Panics
///
/// Panics if the message cannot be serialized, which is a programming error.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let bytes = codec::encode_to_vec(message, config::standard());
    Bytes::from(bytes.expect("messages are serializable"))
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are invalid, longer than [`MAX_MESSAGE_BYTES`], or followed by
/// further bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let limits = config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, read) = codec::decode_from_slice(bytes, limits)?;
    if read != bytes.len() {
        return Err(DecodeError::Other("trailing bytes after the message"));
    }
    Ok(message)
}
