//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use hyper::body::Body as HttpBody;
use std::error::Error;

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
