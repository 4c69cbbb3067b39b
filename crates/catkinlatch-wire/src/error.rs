//! Why a session failed.

use crate::FrameError;
use derive_more::{Display, Error, From};
use std::io;

/// Says why a session failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be opened or broke.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The HTTP/2 session broke.
    #[display("session failed: {_0}")]
    Http(h2::Error),
    /// A frame is damaged.
    #[display("{_0}")]
    Frame(FrameError),
    /// The other process did not follow the protocol.
    #[display("the other process refused or broke the protocol: {reason}")]
    #[from(ignore)]
    Protocol {
        /// What happened.
        reason: String,
    },
    /// The other process did not answer in time.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

impl Error {
    /// Creates an error about the other process's behaviour.
    pub fn protocol(reason: impl Into<String>) -> Self {
        Self::Protocol { reason: reason.into() }
    }
}
