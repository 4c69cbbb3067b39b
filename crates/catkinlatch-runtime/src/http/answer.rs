//! Answers of a process's own.

use super::{Body, empty, full};
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

/// Returns an answer without a body.
pub fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = code;
    response
}

/// Returns an answer in JSON.
pub fn json(body: impl Into<Bytes>) -> Response<Body> {
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
