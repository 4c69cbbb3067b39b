//! Reading the records of a file, and telling a torn tail from damage.

use super::{
    OpenError,
    record::{self, HEADER_BYTES, MAGIC, Record},
    window::Window,
};
use crate::Group;
use catkinlatch_base::ClusterId;
use serde::de::DeserializeOwned;
use std::{io::Read, path::Path};

/// Which file is read, and what its records must say.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The file.
    pub path: &'a Path,
    /// The cluster that it must belong to.
    pub cluster: &'a ClusterId,
    /// The group that it must belong to.
    pub group: Group,
}

impl Source<'_> {
    /// Reads all records; returns them and how many bytes of the file they fill.
    ///
    /// A tail that was never synced is left out.
    ///
    /// # Errors
    ///
    /// Returns an error if synced content is damaged or belongs elsewhere.
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
            // What looks bad may only go on in the next part.
            if !window.fill().map_err(|error| OpenError::Io { path: self.path.into(), error })? {
                break;
            }
        }
        self.check_tail::<C>(window.bytes(), window.offset())?;
        Ok(Records { list, length: window.offset() })
    }

    /// Creates an error about a place in the file.
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
            let reason = format!("it holds group {}, not {}", record.group, self.group);
            return Err(self.damaged(offset, reason));
        }
        Ok(record)
    }

    /// Refuses a bad record at the beginning of the tail that a later record says was synced.
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
                return Err(self.damaged(bad_offset, "a synced record fails its checksum"));
            }
            at = found + 1;
        }
        Ok(())
    }
}

/// The records of a file, each with its offset.
#[derive(Clone, Debug)]
pub struct Records<C> {
    /// The records.
    pub list: Vec<(u64, Record<C>)>,
    /// The bytes that they fill.
    pub length: u64,
}

fn find_magic(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(MAGIC.len()).position(|window| window == MAGIC).map(|at| from + at)
}
