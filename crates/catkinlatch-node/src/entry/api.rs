//! HTTP API for callers.

use super::{
    AuthorizedRequest, Code, Refusal,
    address::{self, Address},
    claim::KeyedRequest,
    credential,
    dispatch::{self, Call, Reply},
    live,
    request::{self, Caller},
    stream,
};
use crate::Node;
use bytes::Bytes;
use catkinlatch_base::{derive_schema, event};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpError, HttpResponseOk, Path,
    RequestContext, RequestInfo, UntypedBody, endpoint,
};
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use std::sync::Arc;

type Context = RequestContext<Arc<Node>>;
type Answer = Result<Response<Body>, HttpError>;

/// Registers the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(get_entry)?;
    api.register(post_chat)?;
    api.register(post_completion)?;
    api.register(get_service)?;
    api.register(post_service)?;
    api.register(put_service)?;
    api.register(delete_service)?;
    Ok(())
}

derive_schema! {
    /// The addresses to which a caller may send requests.
    pub struct Entry {
        /// The addresses, best first.
        pub addresses: Vec<Address>,
        /// How long the addresses may be used, in milliseconds.
        pub time_to_live_ms: u64,
    }
}

#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    rest: Vec<String>,
}

/// The fields of a completion request that decide how it is routed and answered.
#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Returns the addresses that a caller should use.
#[endpoint { method = GET, path = "/v1/entry" }]
async fn get_entry(context: Context) -> Result<HttpResponseOk<Entry>, HttpError> {
    let node = context.context();
    let time_to_live_ms = node.settings.address_time_to_live_ms;
    let addresses = address::list(node, node.address);
    Ok(HttpResponseOk(Entry { addresses, time_to_live_ms }))
}

/// Runs a chat completion; the response is complete or streamed.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn post_chat(context: Context, body: UntypedBody) -> Answer {
    complete(context, "/v1/chat/completions", body).await
}

/// Runs a text completion; the response is complete or streamed.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn post_completion(context: Context, body: UntypedBody) -> Answer {
    complete(context, "/v1/completions", body).await
}

/// Forwards a request to a plain service.
#[endpoint { method = GET, path = "/v1/services/{service}/{rest:.*}", unpublished = true }]
async fn get_service(context: Context, path: Path<ServicePath>, body: UntypedBody) -> Answer {
    serve(context, path.into_inner(), body).await
}

/// Forwards a request to a plain service.
#[endpoint { method = POST, path = "/v1/services/{service}/{rest:.*}", unpublished = true }]
async fn post_service(context: Context, path: Path<ServicePath>, body: UntypedBody) -> Answer {
    serve(context, path.into_inner(), body).await
}

/// Forwards a request to a plain service.
#[endpoint { method = PUT, path = "/v1/services/{service}/{rest:.*}", unpublished = true }]
async fn put_service(context: Context, path: Path<ServicePath>, body: UntypedBody) -> Answer {
    serve(context, path.into_inner(), body).await
}

/// Forwards a request to a plain service.
#[endpoint { method = DELETE, path = "/v1/services/{service}/{rest:.*}", unpublished = true }]
async fn delete_service(context: Context, path: Path<ServicePath>, body: UntypedBody) -> Answer {
    serve(context, path.into_inner(), body).await
}

async fn complete(context: Context, path: &str, body: UntypedBody) -> Answer {
    let node = context.context().clone();
    let result = try_complete(&node, &context.request, path, body).await;
    let response = result.unwrap_or_else(|refusal| refuse(&node, *refusal));
    Ok(node.drain.close_connection(response))
}

async fn serve(context: Context, path: ServicePath, body: UntypedBody) -> Answer {
    let node = context.context().clone();
    let result = try_serve(&node, &context.request, path, body).await;
    let response = result.unwrap_or_else(|refusal| refuse(&node, *refusal));
    Ok(node.drain.close_connection(response))
}

async fn try_complete(
    node: &Arc<Node>,
    info: &RequestInfo,
    path: &str,
    body: UntypedBody,
) -> Result<Response<Body>, Box<Refusal>> {
    let id = request::request_id(info.headers());
    let body = Bytes::copy_from_slice(body.as_bytes());
    let completion: Completion = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a completion request: {error}");
        Refusal::not_run(id.clone(), Code::BadRequest, message)
    })?;
    let caller = Caller::new(node, info.headers(), id, &completion.model)?;
    check_length(&caller.authorized, &body)?;
    let call = dispatch::engine_call(path, body);
    let keyed = KeyedRequest::new(node, &caller.authorized, &call, info.headers())?;
    if completion.stream && keyed.is_none() {
        return stream::run_streamed(node, caller, call).await;
    }
    Ok(respond(live::run(node, &caller, &call, keyed).await?))
}

async fn try_serve(
    node: &Arc<Node>,
    info: &RequestInfo,
    path: ServicePath,
    body: UntypedBody,
) -> Result<Response<Body>, Box<Refusal>> {
    let id = request::request_id(info.headers());
    let caller = Caller::new(node, info.headers(), id, &path.service)?;
    let body = Bytes::copy_from_slice(body.as_bytes());
    check_length(&caller.authorized, &body)?;
    let call = Call {
        method: info.method().clone(),
        path: service_path(&path, info),
        headers: credential::forwardable_headers(info.headers()),
        body,
    };
    let keyed = KeyedRequest::new(node, &caller.authorized, &call, info.headers())?;
    Ok(respond(live::run(node, &caller, &call, keyed).await?))
}

fn service_path(path: &ServicePath, info: &RequestInfo) -> String {
    let rest = path.rest.join("/");
    match info.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    }
}

fn check_length(authorized: &AuthorizedRequest, body: &Bytes) -> Result<(), Box<Refusal>> {
    let limit = authorized.route.max_request_bytes;
    if body.len() as u64 <= limit {
        return Ok(());
    }
    let message = format!("the body has {} bytes; the route allows {limit}", body.len());
    Err(Refusal::not_run(authorized.request.clone(), Code::TooLong, message).into())
}

fn respond(reply: Reply) -> Response<Body> {
    Response::from_parts(reply.head, Body::from(reply.body))
}

fn refuse(node: &Node, refusal: Refusal) -> Response<Body> {
    let code = refusal.code.to_string();
    node.record(event::Kind::Refused { request: refusal.request_id.clone(), code });
    refusal.into_response()
}
