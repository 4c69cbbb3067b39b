//! Counts the bytes that a connection delivers against the content that they carry, and refuses to
//! write while nothing may be sent.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest head of a response, and largest part of a body that is read at once, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that a response may take beside its content: its head, a few parts that are read ahead, and
/// informational responses, chunk extensions and trailers.
const OVERHEAD_BYTES: u64 = 8 * MAX_HEAD_BYTES as u64;

/// Bytes on the connection for each byte of content. A chunk of a single byte takes six.
const BYTES_PER_CONTENT: u64 = 8;

/// Counts the bytes of a response; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    read: AtomicU64,
    allowed: AtomicU64,
    is_write_refused: AtomicBool,
}

/// Returns whether anything may be sent now.
pub type Permission = Arc<dyn Fn() -> bool + Send + Sync>;

impl Meter {
    /// Begins the next response on the connection.
    pub fn begin(&self) {
        let read = self.0.read.load(Ordering::Relaxed);
        self.0.allowed.store(read + OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that `bytes` of content have been received.
    pub fn record_content(&self, bytes: usize) {
        self.0.allowed.fetch_add(bytes as u64 * BYTES_PER_CONTENT, Ordering::Relaxed);
    }

    /// Returns whether the response took more bytes than its content justifies.
    pub fn is_exceeded(&self) -> bool {
        self.0.read.load(Ordering::Relaxed) > self.0.allowed.load(Ordering::Relaxed)
    }

    /// Returns whether a write was refused, so that the last request is incomplete.
    pub fn is_write_refused(&self) -> bool {
        self.0.is_write_refused.load(Ordering::Relaxed)
    }

    fn record_read(&self, bytes: usize) -> io::Result<()> {
        self.0.read.fetch_add(bytes as u64, Ordering::Relaxed);
        if self.is_exceeded() {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "too much beside the content"));
        }
        Ok(())
    }
}

/// A connection whose received bytes are counted.
#[derive(derive_more::Debug)]
pub struct Metered<T> {
    stream: T,
    meter: Meter,
    #[debug(skip)]
    permission: Option<Permission>,
}

impl<T> Metered<T> {
    /// Counts what `stream` delivers.
    pub fn new(stream: T, meter: Meter) -> Self {
        Self { stream, meter, permission: None }
    }

    /// Asks `permission` before each write, if there is one.
    pub fn with_permission(self, permission: Option<Permission>) -> Self {
        Self { permission, ..self }
    }

    fn check_permission(&self) -> io::Result<()> {
        if self.permission.as_ref().is_none_or(|may_send| may_send()) {
            return Ok(());
        }
        self.meter.0.is_write_refused.store(true, Ordering::Relaxed);
        Err(io::Error::new(io::ErrorKind::PermissionDenied, "nothing may be sent"))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Ready(Ok(())) => {
                Poll::Ready(self.meter.record_read(buffer.filled().len() - before))
            }
            other => other,
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_permission()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_permission()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
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
