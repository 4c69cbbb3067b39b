//! Buffered reading of a file.

use std::io::{self, Read};

/// Maximum number of bytes to read at once.
const READ_BYTES: usize = 256 << 10;

/// The part of a file that is in memory.
#[derive(Debug)]
pub struct Window<R> {
    file: R,
    bytes: Vec<u8>,
    /// Index of the first unconsumed byte in `bytes`.
    begin: usize,
    /// Offset of that byte in the file.
    offset: u64,
}

impl<R: Read> Window<R> {
    /// Creates a window at the beginning of a file.
    pub fn new(file: R) -> Self {
        Self { file, bytes: Vec::new(), begin: 0, offset: 0 }
    }

    /// Returns the bytes that have been read and not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.begin..]
    }

    /// Returns the offset of these bytes in the file.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Drops the first `bytes` bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.begin += bytes;
        self.offset += bytes as u64;
    }

    /// Reads the next part of the file; returns `false` at the end of the file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn fill(&mut self) -> io::Result<bool> {
        self.bytes.drain(..self.begin);
        self.begin = 0;
        let part = self.file.by_ref().take(READ_BYTES as u64).read_to_end(&mut self.bytes)?;
        Ok(part > 0)
    }
}
