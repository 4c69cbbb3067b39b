//! Bodies of requests and answers.

use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http_body_util::{
    BodyExt as _, Full, LengthLimitError, Limited, StreamBody, combinators::UnsyncBoxBody,
};
use hyper::body::{Body as HttpBody, Frame};
use std::{error::Error, future::Future};

/// The body of an answer: whole, or passed on as it arrives.
pub type Body = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Returns a whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body without bytes.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Returns a body whose parts are asked for one after another; dropping it, as when the other side
/// leaves, drops the state.
pub fn parts<S, N, F, E>(state: S, next: N) -> Body
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

/// Reads a whole body.
///
/// # Errors
///
/// Returns whether the body is longer than `limit`, or what broke it off.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(error) => Err(BodyError::Broken(error.to_string())),
    }
}

/// Says why a body could not be read.
#[derive(Debug, derive_more::Display)]
pub enum BodyError {
    /// It is longer than allowed.
    #[display("the body is longer than allowed")]
    TooLong,
    /// It broke off.
    #[display("the body broke off: {_0}")]
    Broken(String),
}
