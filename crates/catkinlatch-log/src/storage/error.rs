//! Why a data folder cannot be used.

use catkinlatch_base::ClusterId;
use derive_more::{Display, Error};
use std::{io, path::PathBuf};

/// Says why a data folder cannot be used.
#[derive(Debug, Display, Error)]
pub enum OpenError {
    /// The operating system refused an operation.
    #[display("cannot use {}: {error}; check the folder's rights and space", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the operating system said.
        #[error(source)]
        error: io::Error,
    },
    /// Another process uses the folder.
    #[display("{} is in use by another process; stop it first", path.display())]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another cluster.
    #[display(
        "{} belongs to cluster {found}, not to {expected}; check the settings or use an empty \
         folder",
        path.display()
    )]
    Cluster {
        /// The file.
        path: PathBuf,
        /// The cluster in the settings.
        expected: ClusterId,
        /// The cluster in the file.
        found: ClusterId,
    },
    /// Synced content is damaged.
    #[display(
        "{} is damaged at byte {offset}: {reason}; set the folder aside and start with an empty \
         one, and the node joins as a new one",
        path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
}
