//! Errors on opening a storage folder.

use catkinlatch_base::ClusterId;
use derive_more::{Display, Error};
use std::{io, path::PathBuf};

/// Reason why a storage folder cannot be used.
#[derive(Debug, Display, Error)]
pub enum OpenError {
    /// The operating system returned an error.
    #[display(
        "cannot use {}: {error}; check the folder's permissions and free space",
        path.display()
    )]
    Io {
        /// Affected file or folder.
        path: PathBuf,
        /// Error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// Another process uses the folder.
    #[display("{} is in use by another process; stop it first", path.display())]
    Locked {
        /// The locked folder.
        path: PathBuf,
    },
    /// The folder belongs to another cluster.
    #[display(
        "{} belongs to cluster {found}, not to {expected}; check the settings or use an empty \
         folder",
        path.display()
    )]
    Cluster {
        /// File that names the other cluster.
        path: PathBuf,
        /// Cluster in the settings.
        expected: ClusterId,
        /// Cluster in the file.
        found: ClusterId,
    },
    /// Synced content is damaged or missing.
    #[display(
        "{} is damaged at byte {offset}: {reason}; move the folder away and start with an \
         empty one; the node then joins under a new identity",
        path.display()
    )]
    Damaged {
        /// Damaged file.
        path: PathBuf,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
}
