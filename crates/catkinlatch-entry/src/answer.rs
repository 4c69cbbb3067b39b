//! Responses that this host creates itself.

pub use catkinlatch_runtime::http::{closing, json, status, text};

use catkinlatch_runtime::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
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
