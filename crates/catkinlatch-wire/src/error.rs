//! Errors of sessions.

use crate::FrameError;
use derive_more::{Display, Error, From};
use std::io;

/// Error of a session, or of a call or lane within it.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The TCP connection could not be opened, or failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The HTTP/2 connection or one of its streams failed.
    #[display("session failed: {_0}")]
    Http(h2::Error),
    /// A received frame is invalid.
    #[display("{_0}")]
    Frame(FrameError),
    /// The other process refused the session or a call, or violated the protocol.
    #[display("the other process refused or violated the protocol: {reason}")]
    #[from(ignore)]
    Protocol {
        /// What was refused or violated.
        reason: String,
    },
    /// The other process did not answer before the timeout.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

impl Error {
    /// Creates an [`Error::Protocol`].
    pub fn protocol(reason: impl Into<String>) -> Self {
        Self::Protocol { reason: reason.into() }
    }
}
