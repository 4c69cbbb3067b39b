//! Reading of all records of a file, with a distinction between a torn tail and damage.

use super::{
    OpenError,
    record::{self, HEADER_BYTES, MAGIC, Record},
    window::Window,
};
use crate::Group;
use catkinlatch_base::ClusterId;
use serde::de::DeserializeOwned;
use std::{io::Read, path::Path};

/// The file to read, and the values that its records must have.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Path of the file, for error messages.
    pub path: &'a Path,
    /// Cluster that all records must belong to.
    pub cluster: &'a ClusterId,
    /// Group that all records must belong to.
    pub group: Group,
}

impl Source<'_> {
    /// Reads all records.
    ///
    /// A torn tail that was never synced is omitted.
    ///
    /// # Errors
    ///
    /// Returns an error if synced content is damaged, or if the file belongs to another cluster or
    /// group.
    pub fn read<C: DeserializeOwned>(&self, file: impl Read) -> Result<Records<C>, OpenError> {
        let mut window = Window::new(file);
        let mut list = Vec::new();
        loop {
            while let Some(body) = record::parse_body(window.bytes()) {
                let record = self.check(body, window.offset())?;
                let bytes = HEADER_BYTES + body.len();
                list.push((window.offset(), record));
                window.consume(bytes);
            }
            // A record that seems damaged may merely continue in the next part.
            if !window.fill().map_err(|error| OpenError::Io { path: self.path.into(), error })? {
                break;
            }
        }
        self.check_tail::<C>(window.bytes(), window.offset())?;
        Ok(Records { list, length: window.offset() })
    }

    /// Creates an error for damage at `offset`.
    pub fn damaged(&self, offset: u64, reason: impl Into<String>) -> OpenError {
        OpenError::Damaged { path: self.path.into(), offset, reason: reason.into() }
    }

    fn check<C: DeserializeOwned>(&self, body: &[u8], offset: u64) -> Result<Record<C>, OpenError> {
        let record: Record<C> =
            record::decode(body).map_err(|reason| self.damaged(offset, reason))?;
        if record.cluster != *self.cluster {
            return Err(OpenError::Cluster {
                path: self.path.into(),
                expected: self.cluster.clone(),
                found: record.cluster,
            });
        }
        if record.group != self.group {
            let reason =
                format!("the record belongs to group {}, not {}", record.group, self.group);
            return Err(self.damaged(offset, reason));
        }
        Ok(record)
    }

    /// Returns an error if a later record shows that the invalid record at `bad_offset` was synced.
    fn check_tail<C: DeserializeOwned>(
        &self,
        bytes: &[u8],
        bad_offset: u64,
    ) -> Result<(), OpenError> {
        let mut at = 1;
        while let Some(found) = find_magic(bytes, at) {
            let body = record::parse_body(&bytes[found..]);
            let record = body.and_then(|body| record::decode::<C>(body).ok());
            if record.is_some_and(|record| record.synced > bad_offset) {
                return Err(self.damaged(bad_offset, "a synced record has an invalid checksum"));
            }
            at = found + 1;
        }
        Ok(())
    }
}

/// Records of a file.
#[derive(Clone, Debug)]
pub struct Records<C> {
    /// Records, each with its offset in the file.
    pub list: Vec<(u64, Record<C>)>,
    /// Number of bytes from the beginning of the file that the records occupy.
    pub length: u64,
}

fn find_magic(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(MAGIC.len()).position(|window| window == MAGIC).map(|at| from + at)
}
