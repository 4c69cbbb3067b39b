//! A TCP connection that checks for permission before each write.

use catkinlatch_runtime::http::{Meter, Metered};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};
use tokio::net::TcpStream;

/// A TCP connection that calls `may_write` before each write.
///
/// The process may have been paused since it decided to send, so the check is made immediately
/// before the system call. A write without permission fails with
/// [`PermissionDenied`](io::ErrorKind::PermissionDenied).
pub struct Guard<F> {
    stream: TokioIo<Metered<TcpStream>>,
    may_write: F,
    written: Arc<AtomicBool>,
}

impl<F> Guard<F> {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, may_write: F) -> Self {
        let meter = Meter::default();
        meter.begin();
        let stream = TokioIo::new(Metered::new(stream, meter));
        Self { stream, may_write, written: Arc::default() }
    }

    /// Returns a flag that is set as soon as any byte may have been sent.
    pub fn written(&self) -> Arc<AtomicBool> {
        self.written.clone()
    }
}

impl<F: Unpin> Read for Guard<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<F: Fn() -> bool + Unpin> Write for Guard<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !(self.may_write)() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        self.written.store(true, Ordering::Release);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
