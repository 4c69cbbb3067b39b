//! The layout of one record in a file: magic, length, CRC32C, body.

use crate::{Entry, Group, HardState, Index, Snapshot};
use catkinlatch_base::{ClusterId, Incarnation, Term};
use serde::{Serialize, de::DeserializeOwned};
use std::sync::Arc;

/// Marks where a record may begin.
pub const MAGIC: [u8; 4] = *b"cklr";

/// Bytes before the body: magic, length and checksum, in little endian.
pub const HEADER_BYTES: usize = 12;

/// The most bytes of a body.
const MAX_BODY_BYTES: usize = 1 << 30;

catkinlatch_base::derive_value! {
    /// One record.
    pub struct Record<C> {
        /// The cluster that it belongs to.
        pub cluster: ClusterId,
        /// The group that it belongs to.
        pub group: Group,
        /// The node's term when it was written.
        pub term: Term,
        /// How many bytes of the file were synced when it was written.
        pub synced: u64,
        /// What it holds.
        pub body: Body<C>,
    }
}

catkinlatch_base::derive_value! {
    /// What a record holds.
    pub enum Body<C> {
        /// The identity that the folder belongs to.
        Identity(Incarnation),
        /// A new term and vote.
        HardState(HardState),
        /// Entries from this position on are dropped.
        Truncate(Index),
        /// A new entry.
        Entry(Arc<Entry<C>>),
        /// A snapshot.
        Snapshot(Arc<Snapshot>),
        /// Says only how many bytes are synced.
        Synced,
    }
}

impl<C: Serialize> Record<C> {
    /// Adds the record to a buffer.
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

/// Reads the body of the record that begins the bytes, if it is whole and undamaged.
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

/// Decodes a body that passed its checksum.
pub fn decode<C: DeserializeOwned>(body: &[u8]) -> Result<Record<C>, String> {
    bincode::serde::decode_from_slice(body, bincode::config::standard())
        .map(|(record, _)| record)
        .map_err(|error| error.to_string())
}

fn checksum(length: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(length), body)
}
