//! Failures of a storage, and how much of its files can be trusted afterwards.

use std::io;

/// How much of the files of a failed storage can be trusted once it works again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// All that was synced before is on disk, as after a restart of the process.
    Synced,
    /// Nothing, since synced content may be missing: the host must join under a new identity.
    Nothing,
}

impl Trust {
    /// Returns the trust left after an operation failed.
    ///
    /// A write that does not fit leaves earlier content alone. Any other error may mean that the
    /// device lost some; after a failed sync the system may have dropped the pages that it could not
    /// write, so what the files show afterwards need not be on disk.
    pub fn after(error: &io::Error, is_sync: bool) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded if !is_sync => Self::Synced,
            _ => Self::Nothing,
        }
    }
}

/// Outcome of a batch of writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// All writes up to this number are synced.
    Persisted {
        /// [`crate::Write::number`] of the newest synced write.
        through: u64,
    },
    /// A write or sync failed; the files are closed.
    Failed(Trust),
}
