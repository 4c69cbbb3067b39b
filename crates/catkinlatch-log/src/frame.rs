//! The envelope of a message, with its checks.

use crate::{Message, Peer};
use bytes::{BufMut, Bytes, BytesMut};
use catkinlatch_base::{ClusterId, Incarnation, Term};
use derive_more::{Display, Error, FromStr};
use serde::{Serialize, de::DeserializeOwned};

/// Bytes before the body: its length and its CRC32C, both in little endian.
const HEADER_BYTES: usize = 8;

/// The most bytes that a body may have.
const MAX_BODY_BYTES: usize = 64 << 20;

catkinlatch_base::derive_value! {
    /// Tells apart the groups that each replicate a log of their own.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
    pub struct Group(u32);
}

impl Group {
    /// Wraps a number.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

catkinlatch_base::derive_value! {
    /// A message with its cluster, group, term, sender and receiver.
    pub struct Frame<C> {
        /// The cluster that both belong to.
        pub cluster: ClusterId,
        /// The group that it is about.
        pub group: Group,
        /// The sender's term.
        pub term: Term,
        /// The sender.
        pub from: Peer,
        /// The identity that it is meant for, or whoever runs on the host.
        pub to: Option<Incarnation>,
        /// The message.
        pub message: Message<C>,
    }
}

/// Says why bytes are not a frame.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FrameError {
    /// Fewer bytes than the header says.
    #[display("frame has {found} bytes where {expected} were announced")]
    Length {
        /// Bytes that the header announced.
        expected: usize,
        /// Bytes that came.
        found: usize,
    },
    /// The body is damaged.
    #[display("frame fails its checksum")]
    Checksum,
    /// The body is not a frame of this version.
    #[display("frame cannot be decoded: {reason}")]
    Codec {
        /// What the codec said.
        reason: String,
    },
}

impl<C: Serialize + DeserializeOwned> Frame<C> {
    /// Encodes the frame.
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

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are not a whole, undamaged frame.
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
