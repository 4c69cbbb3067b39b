//! A client's connection, and the request that runs on it.

use super::{Inbound, Key};
use crate::http::{Body, BodyError, segments::Segments};
use bytes::Bytes;
use futures::FutureExt as _;
use http_body_util::BodyExt as _;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::{
    error::Error,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{sync::Notify, time};

/// Step in which a growing body is counted ahead, in bytes.
const HOLD_STEP: usize = 16 << 10;

/// Longest time for which the rest of a refused request is read, so that the client gets its answer:
/// closing a connection with unread bytes resets it.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// What the tasks of a connection tell each other.
#[derive(Debug, Default)]
pub(super) struct Signals {
    close: Notify,
    is_closed: AtomicBool,
    refuse: Notify,
    /// Whether a body is read, whose bytes its reader counts.
    reads_body: AtomicBool,
    has_written: AtomicBool,
}

impl Signals {
    pub(super) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.close.notify_one();
    }

    pub(super) fn refuse(&self) {
        self.refuse.notify_one();
    }

    /// Returns whether the client has taken bytes since the last call.
    pub(super) fn take_written(&self) -> bool {
        self.has_written.swap(false, Ordering::Relaxed)
    }
}

/// An open connection of a client.
#[derive(Debug)]
pub struct Connection {
    pub(super) inbound: Inbound,
    pub(super) key: Key,
    pub(super) signals: Arc<Signals>,
}

impl Connection {
    /// Waits until the connection has to be closed.
    pub async fn ended(&self) {
        self.signals.close.notified().await;
    }

    /// Returns the side that the stream of the connection reports to.
    pub(super) fn reporter(&self) -> Reporter {
        Reporter(self.reader())
    }

    /// Records that the head of a request has arrived whole.
    pub fn begin(&self) -> Active {
        self.inbound.lock().table.begin(self.key);
        Active(self.reader())
    }

    fn reader(&self) -> Reader {
        let (inbound, signals) = (self.inbound.clone(), self.signals.clone());
        Reader { inbound, key: self.key, signals }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.inbound.lock();
        state.table.remove(self.key);
        state.signals.remove(self.key);
    }
}

/// Reports what a connection's stream receives and sends.
#[derive(Debug)]
pub(super) struct Reporter(Reader);

impl Reporter {
    /// Returns whether a body is read, whose bytes its reader counts.
    pub(super) fn reads_body(&self) -> bool {
        self.0.signals.reads_body.load(Ordering::Relaxed)
    }

    /// Returns whether the connection has to be closed.
    pub(super) fn is_closed(&self) -> bool {
        self.0.signals.is_closed.load(Ordering::Relaxed)
    }

    pub(super) fn received(&self, bytes: usize) {
        let mut state = self.0.inbound.lock();
        let ended = state.table.receive_head(self.0.key, bytes);
        state.end(ended.into_iter());
    }

    pub(super) fn written(&self) {
        self.0.signals.has_written.store(true, Ordering::Relaxed);
    }
}

/// A request that runs, until its response has been handed over.
#[derive(Debug)]
pub struct Active(Reader);

impl Active {
    /// Returns what reads the body of the request.
    pub fn reader(&self) -> Reader {
        self.0.clone()
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.inbound.lock().table.finish(self.0.key);
    }
}

/// Reads the body of a request within the limits of all clients; an extension of each request.
#[derive(Clone, Debug)]
pub struct Reader {
    inbound: Inbound,
    key: Key,
    signals: Arc<Signals>,
}

/// Memory that counts as that of requests until it is dropped.
#[derive(Debug)]
pub struct Claim {
    inbound: Inbound,
    key: Key,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.inbound.lock().table.remove(self.key);
    }
}

/// A whole body.
struct Held {
    bytes: Vec<u8>,
    _claim: Claim,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Reader {
    /// Reads a whole body of at most `limit` bytes, within `time`.
    ///
    /// What is left of the body after an error is read and discarded for a while.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer than `limit`, takes too long or ends prematurely, or if
    /// the requests of all clients take too much memory.
    pub async fn read(
        &self,
        mut body: Incoming,
        limit: usize,
        time: Duration,
    ) -> Result<Bytes, BodyError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        // A signal that came too late for the request before does not concern this one.
        let _ = self.signals.refuse.notified().now_or_never();
        self.signals.reads_body.store(true, Ordering::Relaxed);
        let gathered = tokio::select! {
            biased;
            () = self.signals.refuse.notified() => Err(BodyError::NoMemory),
            gathered = time::timeout(time, self.gather(&mut body, limit)) => {
                gathered.unwrap_or(Err(BodyError::TooSlow))
            }
        };
        match gathered {
            Ok(segments) => {
                self.signals.reads_body.store(false, Ordering::Relaxed);
                let inbound = self.inbound.clone();
                let key = inbound.lock().table.complete(self.key);
                let bytes = segments.join();
                Ok(Bytes::from_owner(Held { bytes, _claim: Claim { inbound, key } }))
            }
            Err(error) => {
                self.inbound.lock().table.discard(self.key);
                tokio::spawn(self.clone().discard(body));
                Err(error)
            }
        }
    }

    /// Claims memory for the decoded form of a whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the requests of all clients take too much memory.
    pub fn claim(&self, bytes: usize) -> Result<Claim, BodyError> {
        let mut state = self.inbound.lock();
        let (key, ended) = state.table.claim(bytes);
        state.end(ended.into_iter());
        let inbound = self.inbound.clone();
        key.map(|key| Claim { inbound, key }).ok_or(BodyError::NoMemory)
    }

    async fn gather(&self, body: &mut Incoming, limit: usize) -> Result<Segments, BodyError> {
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLong);
        }
        let (mut segments, mut held) = (Segments::default(), 0);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
            let Ok(part) = frame.into_data() else { continue };
            let length = segments.len() + part.len();
            if length > limit {
                return Err(BodyError::TooLong);
            }
            if length > held {
                held = if held == 0 { length } else { length.next_multiple_of(HOLD_STEP) };
                self.hold(held)?;
            }
            segments.push(&part);
        }
        self.hold(segments.len())?;
        Ok(segments)
    }

    /// Sets how much of the body is in memory.
    fn hold(&self, bytes: usize) -> Result<(), BodyError> {
        let mut state = self.inbound.lock();
        let ended = state.table.receive_body(self.key, bytes);
        let is_ended = ended.iter().any(|ended| ended.key == self.key);
        metrics::gauge!("catkinlatch_http_request_bytes").set(state.table.total_bytes() as f64);
        state.end(ended.into_iter());
        if is_ended { Err(BodyError::NoMemory) } else { Ok(()) }
    }

    /// Reads the rest of a body whose request was refused.
    async fn discard(self, mut body: Incoming) {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        if time::timeout(MAX_DISCARD_TIME, rest).await.is_ok() {
            self.signals.reads_body.store(false, Ordering::Relaxed);
            self.inbound.lock().table.record_discarded(self.key);
        }
    }
}

/// The body of a response, with the request that it answers.
#[derive(Debug)]
pub struct Tracked {
    body: Body,
    _active: Active,
}

impl Tracked {
    /// Creates the body of a response to a request.
    pub fn new(body: Body, active: Active) -> Self {
        Self { body, _active: active }
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
