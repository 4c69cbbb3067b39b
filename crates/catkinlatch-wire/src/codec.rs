//! Turns typed messages into bytes and back.

use bincode::{config, error::DecodeError, serde as codec};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// The most bytes that one message may have.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Encodes a message.
///
/// # Panics
///
/// Panics if the type of the message cannot be encoded, which is an error of the program.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let bytes = codec::encode_to_vec(message, config::standard());
    Bytes::from(bytes.expect("the project's own messages can be encoded"))
}

/// Decodes a message; bytes that follow it are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let limits = config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, read) = codec::decode_from_slice(bytes, limits)?;
    if read != bytes.len() {
        return Err(DecodeError::Other("bytes follow the message"));
    }
    Ok(message)
}
