//! A file that is read a part at a time.

use std::io::{self, Read};

/// How many bytes are read at once.
const READ_BYTES: usize = 256 << 10;

/// The part of a file that is in memory.
#[derive(Debug)]
pub struct Window<R> {
    file: R,
    bytes: Vec<u8>,
    /// Where the bytes that are not yet skipped begin.
    begin: usize,
    /// Where they begin in the file.
    offset: u64,
}

impl<R: Read> Window<R> {
    /// Creates the window at the beginning of a file.
    pub fn new(file: R) -> Self {
        Self { file, bytes: Vec::new(), begin: 0, offset: 0 }
    }

    /// Returns the bytes that were read and not skipped.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.begin..]
    }

    /// Returns where these bytes begin in the file.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Drops the first bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.begin += bytes;
        self.offset += bytes as u64;
    }

    /// Reads on; returns false at the end of the file.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said.
    pub fn fill(&mut self) -> io::Result<bool> {
        self.bytes.drain(..self.begin);
        self.begin = 0;
        let part = self.file.by_ref().take(READ_BYTES as u64).read_to_end(&mut self.bytes)?;
        Ok(part > 0)
    }
}
