//! Reading and writing frames on an HTTP/2 stream.

use crate::{Error, Frame, FrameError};
use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use std::future::poll_fn;

/// Reads frames from a receiving stream.
pub struct Reader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl Reader {
    /// Creates a reader at the start of a stream.
    pub fn new(stream: RecvStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// Reads the next frame, or returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream failed, ended inside a frame, or contains an invalid frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = Frame::decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            let Some(data) = self.stream.data().await else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(FrameError::Truncated.into());
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Returns the rest of the stream after the frames that were read, and those of its bytes that
    /// have already been received.
    pub fn into_rest(self) -> (RecvStream, Bytes) {
        (self.stream, self.buffer.freeze())
    }

    /// Reads the first frame of a stream that carries a single one.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::next`] does, or if the stream has no frame.
    pub async fn single(mut self) -> Result<Frame, Error> {
        self.next().await?.ok_or_else(|| Error::protocol("the stream contains no frame"))
    }
}

/// Writes bytes to a stream, waiting for flow-control capacity of the receiver.
pub async fn write(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_of_stream: bool,
) -> Result<(), Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        while stream.capacity() == 0 {
            let granted = poll_fn(|context| stream.poll_capacity(context)).await;
            if granted.transpose()?.is_none() {
                return Err(Error::protocol("the stream is closed"));
            }
        }
        let part = bytes.split_to(stream.capacity().min(bytes.len()));
        let last = end_of_stream && bytes.is_empty();
        stream.send_data(part, last)?;
    }
    Ok(())
}
