//! Responses that this host creates itself.

pub use catkinlatch_runtime::http::{closing, json, status, text};

use catkinlatch_runtime::http::{Body, Framing};
use http::{HeaderValue, Response, StatusCode, Version, header};
use std::time::Duration;

/// Returns a 503 response for a request that has not run and never will.
///
/// Its `Retry-After` header holds `after` in seconds, with millisecond precision.
pub fn refusal(after: Duration) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns a response of a target that was received whole, whose body must not be of a known length
/// unless `framing` is explicit.
///
/// One that ends with its connection may have been cut, which a length would hide. It is passed on as
/// a response of HTTP/1.0, which ends with the connection as well. A stream is not: its callers could
/// not tell a reset at the target, or the end of this process, from its end.
pub fn with_framing(response: Response<Body>, framing: Framing) -> Response<Body> {
    match framing {
        Framing::Explicit => response,
        Framing::Connection | Framing::Missing => {
            let mut response = closing(response);
            *response.version_mut() = Version::HTTP_10;
            response
        }
    }
}
