//! Answers of this host's own.

pub use catkinlatch_runtime::http::{json, status, text};

use catkinlatch_runtime::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Returns the refusal of a request that has not run and never will, and when to come back.
pub fn refusal(after: Duration) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
