//! In-memory storage for nodes without a disk, and for tests of failing disks.

use crate::{Restored, Write};
use std::io;

/// Storage that lasts as long as the process.
///
/// [`Memory::crash`] drops unsynced writes, as a crash of a node with a disk does.
#[derive(Clone, Debug)]
pub struct Memory<C> {
    synced: Restored<C>,
    unsynced: Vec<Write<C>>,
    writes_left: Option<u64>,
}

impl<C: Clone> Memory<C> {
    /// Creates an empty storage.
    pub fn new() -> Self {
        Self { synced: Restored::default(), unsynced: Vec::new(), writes_left: None }
    }

    /// Makes all writes and syncs fail after this many writes, like a full disk.
    pub fn with_writes_left(mut self, writes: u64) -> Self {
        self.fail_after(writes);
        self
    }

    /// Makes all writes and syncs fail after this many more writes.
    pub fn fail_after(&mut self, writes: u64) {
        self.writes_left = Some(writes);
    }

    /// Makes writes and syncs succeed again.
    pub fn recover(&mut self) {
        self.writes_left = None;
    }

    /// Returns whether writes fail now.
    pub fn is_failing(&self) -> bool {
        self.writes_left == Some(0)
    }

    /// Returns the number of unsynced writes, which a crash would lose.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Adds a write, which is durable only after [`Memory::sync`].
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::StorageFull`] if the storage is set to fail.
    pub fn write(&mut self, write: &Write<C>) -> io::Result<()> {
        match &mut self.writes_left {
            Some(0) => return Err(io::Error::from(io::ErrorKind::StorageFull)),
            Some(left) => *left -= 1,
            None => {}
        }
        self.unsynced.push(write.clone());
        Ok(())
    }

    /// Makes all writes durable.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::StorageFull`] if the storage is set to fail.
    pub fn sync(&mut self) -> io::Result<()> {
        if self.writes_left == Some(0) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        for write in self.unsynced.drain(..) {
            self.synced.apply(&write);
        }
        Ok(())
    }

    /// Simulates a crash that keeps only the first `kept` unsynced writes, and returns the state
    /// that a restart would find.
    pub fn crash(&mut self, kept: usize) -> Restored<C> {
        for write in self.unsynced.drain(..).take(kept) {
            self.synced.apply(&write);
        }
        self.writes_left = None;
        self.synced.clone()
    }
}

impl<C: Clone> Default for Memory<C> {
    fn default() -> Self {
        Self::new()
    }
}
