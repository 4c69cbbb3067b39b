//! The stream of a client's connection, whose received bytes are counted.

use super::connection::{Connection, Reporter};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest part of a head that is read at once, in bytes, and so the most that is read ahead of the
/// request that runs.
const HEAD_PART_BYTES: usize = 8 << 10;

/// Largest part of a body that is read at once, in bytes; each connection has a buffer of this size.
const BODY_PART_BYTES: usize = 16 << 10;

/// The stream of a client's connection, whose received bytes are counted.
#[derive(Debug)]
pub struct Counted<T> {
    stream: T,
    reporter: Reporter,
}

impl<T> Counted<T> {
    /// Counts what `stream` receives as that of a connection.
    pub fn new(stream: T, connection: &Connection) -> Self {
        Self { stream, reporter: connection.reporter() }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Its task may not run before many others have read.
        if self.reporter.is_closed() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let reads_body = self.reporter.reads_body();
        let most = if reads_body { BODY_PART_BYTES } else { HEAD_PART_BYTES };
        let size = buffer.remaining().min(most);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        if bytes > 0 && !reads_body {
            self.reporter.received(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        self.reporter.written();
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts));
        self.reporter.written();
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
