//! A one-way stream of frames.

use crate::{Error, Frame, stream};
use bytes::Bytes;
use h2::SendStream;

/// Sending side of a one-way stream: the other process handles its frames in order and does not
/// answer them.
pub struct Lane {
    stream: SendStream<Bytes>,
}

impl Lane {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Sends a frame, waiting for flow-control capacity of the receiver.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is closed or the session failed.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        stream::write(&mut self.stream, frame.encode(), false).await
    }
}
