//! Byte streams in both directions within a session.

use crate::{Error, Frame, stream};
use bytes::{Buf, Bytes};
use h2::{Reason, RecvStream, SendStream, server::SendResponse};
use http::Response;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Flow-control window of a tunnel in each direction, in bytes. A session's window holds dozens of
/// these, so that a tunnel whose data is not read does not stall the others.
pub const WINDOW_BYTES: u32 = 256 << 10;

/// Largest part that is handed to the session at once, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// A byte stream in both directions. Dropping it before both sides have ended resets it.
///
/// Reads and writes fail with [`io::ErrorKind::ConnectionReset`] if the other process aborted the
/// tunnel, and with [`io::ErrorKind::NetworkUnreachable`] if the session failed.
#[derive(Debug)]
pub struct Tunnel {
    sender: SendStream<Bytes>,
    receiver: RecvStream,
    unread: Bytes,
}

impl Tunnel {
    pub(crate) fn new(sender: SendStream<Bytes>, receiver: RecvStream, unread: Bytes) -> Self {
        Self { sender, receiver, unread }
    }

    /// Ends the tunnel so that the other process sees a connection reset. What it has not read yet is
    /// lost.
    pub fn abort(&mut self) {
        self.sender.send_reset(Reason::CONNECT_ERROR);
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.receiver.poll_data(context)) {
                Some(Ok(data)) => {
                    let released = self.receiver.flow_control().release_capacity(data.len());
                    released.map_err(|error| reset_error(error.reason()))?;
                    self.unread = data;
                }
                Some(Err(error)) => return Poll::Ready(Err(error_of(&error))),
                None => return Poll::Ready(Ok(())),
            }
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.sender.reserve_capacity(bytes.len().min(MAX_PART_BYTES));
        while self.sender.capacity() == 0 {
            match ready!(self.sender.poll_capacity(context)) {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(error_of(&error))),
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            }
        }
        let length = self.sender.capacity().min(bytes.len());
        let part = Bytes::copy_from_slice(&bytes[..length]);
        self.sender.send_data(part, false).map_err(|error| error_of(&error))?;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ended = self.sender.send_data(Bytes::new(), true);
        Poll::Ready(ended.map_err(|error| error_of(&error)))
    }
}

/// A tunnel that another process asks for.
pub struct Offer {
    respond: SendResponse<Bytes>,
    receiver: RecvStream,
    unread: Bytes,
}

impl Offer {
    pub(crate) fn new(respond: SendResponse<Bytes>, receiver: RecvStream, unread: Bytes) -> Self {
        Self { respond, receiver, unread }
    }

    /// Opens the tunnel after `answer`.
    ///
    /// # Errors
    ///
    /// Returns an error if the other process is gone or no longer wants the tunnel.
    pub async fn accept(mut self, answer: &Frame) -> Result<Tunnel, Error> {
        let mut sender = self.respond.send_response(Response::new(()), false)?;
        stream::write(&mut sender, answer.encode(), false).await?;
        Ok(Tunnel::new(sender, self.receiver, self.unread))
    }

    /// Opens no tunnel and returns `answer` only.
    ///
    /// # Errors
    ///
    /// Returns an error if the other process is gone or no longer wants the tunnel.
    pub async fn refuse(mut self, answer: &Frame) -> Result<(), Error> {
        let mut sender = self.respond.send_response(Response::new(()), false)?;
        stream::write(&mut sender, answer.encode(), true).await
    }
}

fn error_of(error: &h2::Error) -> io::Error {
    reset_error(error.reason().filter(|_| error.is_reset()))
}

/// Distinguishes a tunnel that the other process aborted from one that was lost on the way.
fn reset_error(reason: Option<Reason>) -> io::Error {
    match reason {
        Some(Reason::CONNECT_ERROR) => io::Error::new(
            io::ErrorKind::ConnectionReset,
            "the connection behind the tunnel was reset",
        ),
        Some(_) | None => io::Error::new(io::ErrorKind::NetworkUnreachable, "the tunnel was lost"),
    }
}
