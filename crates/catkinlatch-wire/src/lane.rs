//! A stream of frames one way.

use crate::{Error, Frame, stream};
use bytes::Bytes;
use h2::SendStream;

/// Sends frames that the other process handles in order and does not answer.
pub struct Lane {
    stream: SendStream<Bytes>,
}

impl Lane {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Sends a frame once the receiver has room for it.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        stream::write(&mut self.stream, frame.encode(), false).await
    }
}
