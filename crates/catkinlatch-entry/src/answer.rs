//! Answers of this host's own.

use catkinlatch_runtime::http::{Body, empty, full};
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Returns an answer without a body.
pub fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = code;
    response
}

/// Returns an answer in JSON.
pub fn json(body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns an answer in text.
pub fn text(code: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = code;
    response
}

/// Returns the refusal of a request that has not run and never will, and when to come back.
pub fn refusal(after: Duration) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
