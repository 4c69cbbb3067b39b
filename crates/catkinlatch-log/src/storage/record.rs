//! Layout of a record on disk: magic, length, CRC32C, body.

use crate::{Entry, Group, HardState, Index, Snapshot};
use catkinlatch_base::{ClusterId, Incarnation, Term};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, sync::Arc};

/// Marks the beginning of a record.
pub const MAGIC: [u8; 4] = *b"cklr";

/// Size of the header: magic, body length and checksum, in little-endian order.
pub const HEADER_BYTES: usize = 12;

/// Maximum size of a body in bytes.
const MAX_BODY_BYTES: usize = 1 << 30;

catkinlatch_base::derive_value! {
    /// A record in a file.
    pub struct Record<C> {
        /// Cluster that the file belongs to.
        pub cluster: ClusterId,
        /// Group that the file belongs to.
        pub group: Group,
        /// Term of the node when the record was written.
        pub term: Term,
        /// Synced length of the file in bytes when the record was written.
        pub synced: u64,
        /// Content of the record.
        pub body: Body<C>,
    }
}

catkinlatch_base::derive_value! {
    /// Content of a record.
    pub enum Body<C> {
        /// Identity that the folder belongs to.
        Identity(Incarnation),
        /// New term and vote.
        HardState(HardState),
        /// Drops the entries at and after this position.
        Truncate(Index),
        /// New entry.
        Entry(Arc<Entry<C>>),
        /// Snapshot.
        Snapshot(Arc<Snapshot>),
        /// Nothing; the record only carries its `synced` length.
        Synced,
    }
}

impl<C: Serialize> Record<C> {
    /// Appends the encoded record to a buffer.
    pub fn encode(&self, buffer: &mut Vec<u8>) -> Result<(), bincode::error::EncodeError> {
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())?;
        let length = (body.len() as u32).to_le_bytes();
        buffer.extend_from_slice(&MAGIC);
        buffer.extend_from_slice(&length);
        buffer.extend_from_slice(&checksum(&length, &body).to_le_bytes());
        buffer.extend_from_slice(&body);
        Ok(())
    }
}

impl<C: Serialize> Record<C> {
    /// Writes the encoded record without holding it in memory as a whole, which takes a second pass
    /// for its length and checksum.
    pub fn write(&self, writer: &mut impl io::Write) -> io::Result<()> {
        let mut digest = Digest::default();
        self.encode_into(&mut digest)?;
        let length = (digest.length as u32).to_le_bytes();
        let checksum =
            crc32c::crc32c_combine(crc32c::crc32c(&length), digest.checksum, digest.length);
        writer.write_all(&MAGIC)?;
        writer.write_all(&length)?;
        writer.write_all(&checksum.to_le_bytes())?;
        self.encode_into(writer)
    }

    fn encode_into(&self, writer: &mut impl io::Write) -> io::Result<()> {
        let config = bincode::config::standard();
        bincode::serde::encode_into_std_write(self, writer, config).map_err(io::Error::other)?;
        Ok(())
    }
}

/// Length and checksum of what was written to it.
#[derive(Debug, Default)]
struct Digest {
    length: usize,
    checksum: u32,
}

impl io::Write for Digest {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.length += bytes.len();
        self.checksum = crc32c::crc32c_append(self.checksum, bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the body of the record at the beginning of `bytes`, or `None` if it is incomplete or
/// damaged.
pub fn parse_body(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    let (magic, rest) = header.split_at(MAGIC.len());
    let length: [u8; 4] = rest.get(..4)?.try_into().ok()?;
    let expected: [u8; 4] = rest.get(4..8)?.try_into().ok()?;
    let size = u32::from_le_bytes(length) as usize;
    if magic != MAGIC || size > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + size)?;
    (checksum(&length, body) == u32::from_le_bytes(expected)).then_some(body)
}

/// Decodes a body whose checksum has been verified.
pub fn decode<C: DeserializeOwned>(body: &[u8]) -> Result<Record<C>, String> {
    bincode::serde::decode_from_slice(body, bincode::config::standard())
        .map(|(record, _)| record)
        .map_err(|error| error.to_string())
}

fn checksum(length: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(length), body)
}
