//! Responses that a process creates itself, as opposed to forwarded ones.

use super::{Body, empty, full};
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

/// Returns a response with an empty body.
pub fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = code;
    response
}

/// Closes the connection after a response.
pub fn closing(mut response: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Returns a response with status 200 and a JSON body.
pub fn json(body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a response with a text body and no content type.
pub fn text(code: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = code;
    response
}
