//! Readiness endpoint of this host.

use crate::{answer, host::Host};
use catkinlatch_platform::call;
use catkinlatch_runtime::http::Body;
use http::{Response, StatusCode};
use hyper::{Request, body::Incoming};
use std::{
    future::{Ready, ready},
    sync::Arc,
};

/// Returns the handler of the readiness HTTP server.
pub fn handler(
    host: Arc<Host>,
) -> impl Fn(Request<Incoming>) -> Ready<Response<Body>> + Send + Sync {
    move |request| {
        let is_question = call::is_readiness(request.method(), request.uri());
        ready(answer::status(match (is_question, host.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        }))
    }
}
