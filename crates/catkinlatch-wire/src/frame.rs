//! Frames: a payload with the sender's term and clock, and a checksum.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Size of the header, in bytes: payload length, checksum, group, term, and the clock's
/// milliseconds and counter.
pub const HEADER_BYTES: usize = 4 + 4 + 4 + 8 + 8 + 4;

/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = crate::codec::MAX_MESSAGE_BYTES;

/// Size of the payload length, in bytes.
const LENGTH_BYTES: usize = 4;

/// Size of the part that the checksum does not cover, in bytes: payload length and checksum.
const UNCHECKED_BYTES: usize = 8;

/// A payload sent between two processes.
///
/// Frames carry no cluster id: the cluster is checked once, when the session is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The replication group that the payload belongs to; zero for the control log.
    pub group: u32,
    /// The sender's term in that group.
    pub term: u64,
    /// The sender's hybrid logical clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter of the hybrid logical clock, which orders events within one millisecond.
    pub counter: u32,
    /// The encoded message.
    pub payload: Bytes,
}

/// Error of decoding a frame.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FrameError {
    /// The payload exceeds `MAX_PAYLOAD_BYTES`.
    #[display("frame payload of {bytes} bytes exceeds the limit")]
    TooLong {
        /// The payload length from the header.
        bytes: usize,
    },
    /// The checksum does not match.
    #[display("frame checksum does not match")]
    Checksum,
    /// The stream ended before the frame was complete.
    #[display("stream ended inside a frame")]
    Truncated,
}

impl Frame {
    /// Creates a frame of the control log's group, with term and clock zero.
    pub fn new(payload: Bytes) -> Self {
        Self { group: 0, term: 0, wall_ms: 0, counter: 0, payload }
    }

    /// Sets the reading of the sender's hybrid logical clock.
    pub fn with_clock(self, wall_ms: u64, counter: u32) -> Self {
        Self { wall_ms, counter, ..self }
    }

    /// Sets the sender's term.
    pub fn with_term(self, term: u64) -> Self {
        Self { term, ..self }
    }

    /// Encodes the frame.
    ///
    /// # Panics
    ///
    /// Panics if the payload has 4 GiB or more.
    pub fn encode(&self) -> Bytes {
        let length = u32::try_from(self.payload.len()).expect("a payload is smaller than 4 GiB");
        let mut bytes = BytesMut::with_capacity(HEADER_BYTES + self.payload.len());
        bytes.put_u32(length);
        bytes.put_u32(0);
        bytes.put_u32(self.group);
        bytes.put_u64(self.term);
        bytes.put_u64(self.wall_ms);
        bytes.put_u32(self.counter);
        bytes.put_slice(&self.payload);
        let checksum = crc32c::crc32c(&bytes[UNCHECKED_BYTES..]);
        bytes[LENGTH_BYTES..UNCHECKED_BYTES].copy_from_slice(&checksum.to_be_bytes());
        bytes.freeze()
    }

    /// Removes a frame from the front of `buffer`, or returns `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the payload is too long or the checksum does not match.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        let Some(mut head) = buffer.get(..HEADER_BYTES) else { return Ok(None) };
        let length = head.get_u32() as usize;
        if length > MAX_PAYLOAD_BYTES {
            return Err(FrameError::TooLong { bytes: length });
        }
        if buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        let mut bytes = buffer.split_to(HEADER_BYTES + length).freeze();
        bytes.advance(4);
        let checksum = bytes.get_u32();
        if checksum != crc32c::crc32c(&bytes) {
            return Err(FrameError::Checksum);
        }
        let (group, term) = (bytes.get_u32(), bytes.get_u64());
        let (wall_ms, counter) = (bytes.get_u64(), bytes.get_u32());
        Ok(Some(Self { group, term, wall_ms, counter, payload: bytes }))
    }
}
