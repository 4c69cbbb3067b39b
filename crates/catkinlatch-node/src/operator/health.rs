//! Endpoints for the health, metrics and drain of a node.

use super::access::authorize;
use crate::{Node, metric};
use catkinlatch_base::derive_schema;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpError, HttpResponseOk, RequestContext,
    endpoint,
};
use http::{Response, header};
use log::info;
use std::sync::Arc;

type Context = RequestContext<Arc<Node>>;

derive_schema! {
    /// The drain state of a node.
    pub struct Draining {
        /// Whether the node is draining.
        pub draining: bool,
        /// How long callers may still use the node's address, in milliseconds from the start of
        /// the drain.
        pub address_time_to_live_ms: u64,
    }
}

/// Registers the endpoints of this module.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(get_live)?;
    api.register(get_ready)?;
    api.register(get_metrics)?;
    api.register(post_drain)?;
    Ok(())
}

/// Answers 200 while the process runs.
#[endpoint { method = GET, path = "/v1/live" }]
async fn get_live(_context: Context) -> Result<HttpResponseOk<()>, HttpError> {
    Ok(HttpResponseOk(()))
}

/// Answers 200 while the node accepts new callers, and 503 otherwise.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(context: Context) -> Result<HttpResponseOk<()>, HttpError> {
    if !context.context().is_ready() {
        let message = "the node drains, or hears no leader".to_owned();
        return Err(HttpError::for_unavail(None, message));
    }
    Ok(HttpResponseOk(()))
}

/// Returns the metrics of the process in the Prometheus text format.
#[endpoint { method = GET, path = "/v1/metrics" }]
async fn get_metrics(context: Context) -> Result<Response<Body>, HttpError> {
    authorize(&context)?;
    let response = Response::builder().header(header::CONTENT_TYPE, "text/plain; version=0.0.4");
    Ok(response.body(Body::from(metric::render())).expect("the parts are valid"))
}

/// Drains the node: it leaves the list of entry addresses, finishes its work and stops.
#[endpoint { method = POST, path = "/v1/drain" }]
async fn post_drain(context: Context) -> Result<HttpResponseOk<Draining>, HttpError> {
    let node = authorize(&context)?;
    if node.drain.begin() {
        info!("drain: begun by an operator");
    }
    let address_time_to_live_ms = node.settings.address_time_to_live_ms;
    Ok(HttpResponseOk(Draining { draining: true, address_time_to_live_ms }))
}
