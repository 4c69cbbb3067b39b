//! Bodies of requests and responses.

use super::{inbound::Reader, segments::Segments};
use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Body as HttpBody, Frame, Incoming},
    http::request::Parts,
};
use std::{error::Error, future::Future, time::Duration};
use tokio::time;

/// Body of a request or response: complete, or streamed in parts.
pub type Body = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Returns a complete body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Returns a streamed body whose parts `next` produces one at a time, until it returns `None`.
///
/// The state is dropped with the body, which happens if the other side disconnects.
pub fn streamed<S, N, F, E>(state: S, next: N) -> Body
where
    S: Send + 'static,
    N: FnMut(S) -> F + Send + 'static,
    F: Future<Output = Option<(Result<Bytes, E>, S)>> + Send + 'static,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let parts = stream::unfold(state, next);
    let frames = parts.map(|part| part.map(Frame::data).map_err(Into::into));
    StreamBody::new(frames).boxed_unsync()
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is longer than `limit` or ends prematurely.
pub async fn collect<B>(mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return Err(BodyError::TooLong);
    }
    let mut segments = Segments::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.into().to_string()))?;
        let Ok(part) = frame.into_data() else { continue };
        if segments.len() + part.len() > limit {
            return Err(BodyError::TooLong);
        }
        segments.push(&part);
    }
    Ok(segments.join().into())
}

/// Reads the whole body of a client's request, of at most `limit` bytes, within `time` and the limits
/// of all clients.
///
/// # Errors
///
/// Returns an error if the body is longer than `limit`, takes too long or ends prematurely, or if the
/// requests of all clients take too much memory.
pub async fn receive(
    head: &Parts,
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, BodyError> {
    match head.extensions.get::<Reader>() {
        Some(reader) => reader.clone().read(body, limit, time).await,
        None => time::timeout(time, collect(body, limit)).await.unwrap_or(Err(BodyError::TooSlow)),
    }
}

/// Error of reading a body.
#[derive(Debug, derive_more::Display)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[display("the body is longer than allowed")]
    TooLong,
    /// The connection failed before the end of the body; the text is the cause.
    #[display("the body ended early: {_0}")]
    Broken(String),
    /// The path to the server was lost before the end of the body, which shows nothing about the
    /// server itself; the text is the cause.
    #[display("the path was lost: {_0}")]
    Lost(String),
    /// The body is not encoded as HTTP demands, or takes too many bytes beside its content; the text
    /// is the cause.
    #[display("the body is malformed: {_0}")]
    Malformed(String),
    /// All bodies in flight take too much memory, and this is one of the newest or slowest.
    #[display("ended to limit the memory of all bodies")]
    NoMemory,
    /// The body did not arrive whole in time.
    #[display("the body takes too long")]
    TooSlow,
}
