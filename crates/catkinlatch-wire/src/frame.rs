//! The unit of transfer: a payload with its origin in time and a checksum.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};

/// The bytes before the payload: length, checksum, group, term, and a reading of the clock.
pub const HEADER_BYTES: usize = 4 + 4 + 4 + 8 + 8 + 4;

/// The most bytes that a payload may have.
pub const MAX_PAYLOAD_BYTES: usize = crate::codec::MAX_MESSAGE_BYTES;

/// Bytes before the part that the checksum covers: the length and the checksum itself.
const UNCHECKED_BYTES: usize = 8;

/// A payload on its way between two processes.
///
/// The cluster is checked once, when a session opens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The replication group that the payload belongs to; zero for the control log.
    pub group: u32,
    /// The sender's term in that group.
    pub term: u64,
    /// The sender's hybrid logical clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders events of one millisecond.
    pub counter: u32,
    /// The message.
    pub payload: Bytes,
}

/// Says why bytes are not a frame.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FrameError {
    /// The payload is longer than allowed.
    #[display("frame of {bytes} bytes is longer than allowed")]
    TooLong {
        /// The length that the header gives.
        bytes: usize,
    },
    /// The checksum does not match.
    #[display("frame checksum does not match")]
    Checksum,
    /// The stream ended inside a frame.
    #[display("stream ended inside a frame")]
    Torn,
}

impl Frame {
    /// Creates a frame of the control log's group without a term.
    pub fn new(payload: Bytes) -> Self {
        Self { group: 0, term: 0, wall_ms: 0, counter: 0, payload }
    }

    /// Sets the sender's clock.
    pub fn with_clock(self, wall_ms: u64, counter: u32) -> Self {
        Self { wall_ms, counter, ..self }
    }

    /// Sets the sender's term.
    pub fn with_term(self, term: u64) -> Self {
        Self { term, ..self }
    }

    /// Encodes the frame.
    pub fn encode(&self) -> Bytes {
        let mut checked = BytesMut::with_capacity(HEADER_BYTES + self.payload.len());
        checked.put_u32(self.group);
        checked.put_u64(self.term);
        checked.put_u64(self.wall_ms);
        checked.put_u32(self.counter);
        checked.put_slice(&self.payload);
        let mut bytes = BytesMut::with_capacity(UNCHECKED_BYTES + checked.len());
        let length = u32::try_from(self.payload.len()).expect("a payload has less than 4 GiB");
        bytes.put_u32(length);
        bytes.put_u32(crc32c::crc32c(&checked));
        bytes.put_slice(&checked);
        bytes.freeze()
    }

    /// Takes a frame from the front of `buffer`, or returns `None` if it is not complete yet.
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
