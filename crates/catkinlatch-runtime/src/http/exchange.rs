//! A request whose response is being received.

use super::{
    BodyError,
    client::{CUT_OFF, Client, Connection, record_end},
    memory::Share,
    segments::Segments,
    validity::{Framing, is_closing},
};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    Response,
    body::{Body as _, Incoming},
    header,
};
use std::{error::Error as _, io, time::Duration};

/// Time for which an idle connection is kept if the server announces no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which an idle connection is kept.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Fraction of the server's keep-alive timeout for which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.75;

/// Number of bytes after which a growing body is counted anew.
const HOLD_STEP: usize = 16 << 10;

/// A response whose body has not been read to its end; dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    /// Head of the response, and the rest of its body.
    pub response: Response<Incoming>,
    /// How the response tells where its body ends.
    pub framing: Framing,
    connection: Connection,
    address: String,
    client: Client,
    share: Share,
    /// Whether the request may be executed again.
    is_repeatable: bool,
}

/// A complete body, which counts as memory of responses in flight until it is dropped.
struct Held {
    bytes: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Exchange {
    pub(super) fn new(
        response: Response<Incoming>,
        connection: Connection,
        address: &str,
        client: &Client,
        is_repeatable: bool,
    ) -> Self {
        let (client, share) = (client.clone(), client.budget().begin());
        let address = address.to_owned();
        let length = response.body().size_hint().exact();
        let (head, body) = response.into_parts();
        let framing = Framing::new(&head, length);
        let response = Response::from_parts(head, body);
        Self { response, framing, connection, address, client, share, is_repeatable }
    }

    /// Reads the complete body of at most `limit` bytes; keeps the connection if it can be reused.
    /// The response has its [`Framing`] as an extension.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer than `limit`, ends prematurely or is malformed, or if
    /// all responses together take too much memory and this is one of the newest.
    pub async fn read_body(mut self, limit: usize) -> Result<Response<Bytes>, BodyError> {
        let announced = self.response.body().size_hint().exact();
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced.is_some_and(|announced| announced > limit) {
            return Err(self.end("body", BodyError::TooLong));
        }
        let (mut segments, mut held) = (Segments::default(), 0);
        while let Some(part) = self.next().await? {
            let length = segments.len() + part.len();
            if length > limit {
                return Err(self.end("body", BodyError::TooLong));
            }
            if length - held >= HOLD_STEP || held == 0 {
                held = length;
                self.hold(held)?;
            }
            segments.push(&part);
        }
        let bytes = segments.join();
        let Self { response, framing, connection, address, client, share, .. } = self;
        let (mut head, _) = response.into_parts();
        if let Some(idle) = idle_time(&head) {
            client.keep(address, connection, idle);
        }
        head.extensions.insert(framing);
        share.complete();
        let body = Bytes::from_owner(Held { bytes, _share: share });
        Ok(Response::from_parts(head, body))
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed before the end of the body, the body is malformed,
    /// or the response is ended to make room for an older one.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        let dialer = self.client.dialer().filter(|_| !self.connection.is_relayed()).cloned();
        loop {
            let frame = self.response.body_mut().frame();
            let received = async {
                match &dialer {
                    Some(dialer) => dialer.wait(&self.address, self.is_repeatable, frame).await,
                    None => Some(frame.await),
                }
            };
            let received = tokio::select! {
                biased;
                () = self.share.ended() => return Err(self.end("memory", BodyError::NoMemory)),
                received = received => received,
            };
            let Some(received) = received else {
                return Err(BodyError::Lost(CUT_OFF.to_owned()));
            };
            if let (Some(dialer), Some(Ok(_))) = (&dialer, &received) {
                dialer.record_answer(&self.address);
            }
            match received {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.connection.meter.record_content(data.len());
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) if self.connection.is_lost(&error) => {
                    let reason = "the host that relayed the response was lost";
                    return Err(BodyError::Lost(reason.to_owned()));
                }
                Some(Err(error)) => return Err(self.classify(&error)),
            }
        }
    }

    /// Sets how many bytes of the response are held in memory.
    ///
    /// # Errors
    ///
    /// Returns an error if all responses together take too much memory and this is one of the
    /// newest.
    pub fn hold(&self, bytes: usize) -> Result<(), BodyError> {
        if self.share.hold(bytes) {
            return Ok(());
        }
        Err(self.end("memory", BodyError::NoMemory))
    }

    /// Keeps the connection for reuse if possible; the body must have been read to its end.
    pub fn release(self) {
        let Self { response, connection, address, client, .. } = self;
        let (head, _) = response.into_parts();
        if let Some(idle) = idle_time(&head) {
            client.keep(address, connection, idle);
        }
    }

    /// Records that the response is ended because it exceeded a limit.
    fn end(&self, limit: &'static str, error: BodyError) -> BodyError {
        record_end(&self.address, limit);
        error
    }

    /// Distinguishes a body that is malformed from one whose connection broke.
    fn classify(&self, error: &hyper::Error) -> BodyError {
        if self.connection.meter.is_exceeded() {
            let reason = "it takes too many bytes beside its content".to_owned();
            return self.end("framing", BodyError::Malformed(reason));
        }
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let kind = source.map(io::Error::kind);
        match (source, kind) {
            (Some(source), Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)) => {
                BodyError::Malformed(source.to_string())
            }
            _ => BodyError::Broken(error.to_string()),
        }
    }
}

/// Returns the time for which the connection may be kept after this response.
///
/// Returns `None` if the response closes the connection, has neither a content length nor a
/// transfer encoding, or is not HTTP/1.1.
fn idle_time(head: &hyper::http::response::Parts) -> Option<Duration> {
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    if is_closing(&head.headers) || !has_length || head.version != hyper::Version::HTTP_11 {
        return None;
    }
    let keep_alive = head.headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = keep_alive.and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    let idle = timeout.map_or(DEFAULT_IDLE_TIMEOUT, |seconds: u64| {
        Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION)
    });
    Some(idle.min(MAX_IDLE_TIMEOUT))
}
