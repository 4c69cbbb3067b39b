//! Frames: messages with routing information, and their checksummed encoding.

use crate::{Message, Peer};
use bytes::{BufMut, Bytes, BytesMut};
use catkinlatch_base::{ClusterId, Incarnation, Term};
use derive_more::{Display, Error, FromStr};
use serde::{Serialize, de::DeserializeOwned};

/// Size of the header: body length and CRC32C of the body, both little-endian.
const HEADER_BYTES: usize = 8;

/// Maximum size of a body in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

catkinlatch_base::derive_value! {
    /// Identifies a replication group. Each group replicates a log of its own.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
    pub struct Group(u32);
}

impl Group {
    /// Creates a group from its number.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the group as a number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

catkinlatch_base::derive_value! {
    /// A message with its cluster, group, term, sender and receiver.
    pub struct Frame<C> {
        /// Cluster of sender and receiver; frames of other clusters are ignored.
        pub cluster: ClusterId,
        /// Group of sender and receiver; frames of other groups are ignored.
        pub group: Group,
        /// Term of the sender.
        pub term: Term,
        /// Identity of the sender.
        pub from: Peer,
        /// Identity of the receiver; `None` for any identity that runs on the destination host.
        pub to: Option<Incarnation>,
        /// Message to deliver.
        pub message: Message<C>,
    }
}

/// Reason why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FrameError {
    /// The size differs from the size in the header, or exceeds the maximum.
    #[display("frame has {found} bytes, expected {expected}")]
    Length {
        /// Expected or maximum size in bytes.
        expected: usize,
        /// Actual size in bytes.
        found: usize,
    },
    /// The body does not match its checksum.
    #[display("frame has an invalid checksum")]
    Checksum,
    /// The body cannot be encoded or decoded, for example because it is of another version.
    #[display("frame cannot be decoded: {reason}")]
    Codec {
        /// Error message of the codec.
        reason: String,
    },
}

impl<C: Serialize + DeserializeOwned> Frame<C> {
    /// Encodes the frame with its header.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Length`] if the body is too large, or [`FrameError::Codec`] if a
    /// command cannot be serialized.
    pub fn encode(&self) -> Result<Bytes, FrameError> {
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| FrameError::Codec { reason: error.to_string() })?;
        if body.len() > MAX_BODY_BYTES {
            return Err(FrameError::Length { expected: MAX_BODY_BYTES, found: body.len() });
        }
        let mut bytes = BytesMut::with_capacity(HEADER_BYTES + body.len());
        bytes.put_u32_le(body.len() as u32);
        bytes.put_u32_le(crc32c::crc32c(&body));
        bytes.put_slice(&body);
        Ok(bytes.freeze())
    }

    /// Decodes a frame with its header.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Length`] if the frame is truncated or too large,
    /// [`FrameError::Checksum`] if it is damaged, or [`FrameError::Codec`] if the body cannot be
    /// decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let header = bytes.first_chunk::<HEADER_BYTES>();
        let Some([l0, l1, l2, l3, c0, c1, c2, c3]) = header.copied() else {
            return Err(FrameError::Length { expected: HEADER_BYTES, found: bytes.len() });
        };
        let body = &bytes[HEADER_BYTES..];
        let expected = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        if body.len() != expected || expected > MAX_BODY_BYTES {
            return Err(FrameError::Length { expected, found: body.len() });
        }
        if crc32c::crc32c(body) != u32::from_le_bytes([c0, c1, c2, c3]) {
            return Err(FrameError::Checksum);
        }
        let config = bincode::config::standard().with_limit::<MAX_BODY_BYTES>();
        let (frame, _) = bincode::serde::decode_from_slice(body, config)
            .map_err(|error| FrameError::Codec { reason: error.to_string() })?;
        Ok(frame)
    }
}
