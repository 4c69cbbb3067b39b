//! Sending an admitted request to a target and checking that the response belongs to it.

use super::{
    AuthorizedRequest, Code, Ran, Refusal,
    admission::{self, Guard},
    attempt::{self, Attempt},
    credential,
    request::REQUEST_ID,
    retry::{Failure, Retrier},
};
use crate::{
    Node, targets,
    upstream::{self, CallError},
};
use bytes::Bytes;
use catkinlatch_base::{Instant, RequestId, Tokens, event};
use catkinlatch_fleet::meter::Record;
use catkinlatch_route::{admission::Class, retry::Effect, target::Selector};
use catkinlatch_runtime::http::{Exchange, Repeatable};
use catkinlatch_state::config;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Deserialize;
use std::sync::Arc;

/// Estimated completion tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Upper bound on the estimated completion tokens of a request.
const MAX_ESTIMATED_TOKENS: u64 = 1 << 20;

/// Estimated number of request bytes per prompt token.
const BYTES_PER_TOKEN: u64 = 4;

/// Content type of responses that are event streams.
pub const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A request to send to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and query; credentials in the query are removed before sending.
    pub path: String,
    /// The headers, without credentials.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// The status and headers, without hop-by-hop headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

/// The token counts in an engine's response.
#[derive(Debug, Default, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the actual cost, or the estimate if the target reported no tokens.
    pub fn cost(&self, estimate: Tokens) -> Tokens {
        match self.prompt_tokens + self.completion_tokens {
            0 => estimate,
            counted => Tokens::new(counted),
        }
    }
}

#[derive(Debug, Deserialize)]
struct UsageField {
    #[serde(default)]
    usage: Usage,
}

/// Returns the selector of the targets that serve a route.
pub fn selector(route: &config::Route) -> Selector {
    match &route.kind {
        config::Kind::Model(model) => Selector::Engine(model.clone()),
        config::Kind::Service => Selector::Service(route.id.clone()),
    }
}

/// Makes one attempt to send a request and returns the response head.
async fn send_once(
    node: &Arc<Node>,
    authorized: &AuthorizedRequest,
    call: &Call,
    retrier: &Retrier,
) -> Result<(Attempt, Exchange), Failure> {
    let attempt = retrier.begin(node, authorized).await?;
    let request = match target_request(node, authorized, call, &attempt.address) {
        Ok(request) => request,
        Err(refusal) => return Err(Failure::unsent(*refusal)),
    };
    node.record(event::Kind::Sent {
        request: authorized.request.clone(),
        team: authorized.team.clone(),
        target: attempt.target.clone(),
    });
    let sent = node.target_upstream.send(request);
    let exchange = match tokio::time::timeout_at(node.clock.timer(authorized.deadline), sent).await
    {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => return Err(call_failure(authorized, attempt, &error)),
        Err(_) => return Err(attempt::timed_out(authorized, attempt)),
    };
    let response = &exchange.response;
    targets::record_response(node, &attempt.target, &attempt.boot, response);
    if !echoes_id(response.headers(), &authorized.request) {
        let message = "the target answered another request; retry if that does no harm";
        return Err(may_have_run(authorized, attempt, message));
    }
    if authorized.route.idempotent && is_gateway_error(response.status()) {
        let message = format!("the target answered with status {}", response.status());
        return Err(may_have_run(authorized, attempt, &message));
    }
    Ok((attempt, exchange))
}

/// Sends a request, retrying on other targets as the retry rules allow, and returns the response
/// head.
pub async fn send(
    node: &Arc<Node>,
    authorized: &AuthorizedRequest,
    call: &Call,
    retrier: &mut Retrier,
) -> Result<(Attempt, Exchange), Box<Refusal>> {
    loop {
        match send_once(node, authorized, call, retrier).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => retrier.handle_failure(node, authorized, failure).await?,
        }
    }
}

/// Runs a sample of a rollout on a target and returns the complete response.
pub async fn run_sample(
    node: &Arc<Node>,
    authorized: &AuthorizedRequest,
    call: &Call,
) -> Result<Reply, Box<Refusal>> {
    let guard =
        admission::admit(node, authorized, Class::Rollout, estimate_cost(authorized, call)).await?;
    run_admitted(node, authorized, call, guard).await
}

/// Runs an admitted request on a target and returns the complete response.
pub async fn run_admitted(
    node: &Arc<Node>,
    authorized: &AuthorizedRequest,
    call: &Call,
    mut guard: Guard,
) -> Result<Reply, Box<Refusal>> {
    let started = node.clock.now();
    guard.set_sent();
    let mut retrier = Retrier::new(node, authorized, call);
    let (attempt, mut head, body) = loop {
        match run_once(node, authorized, call, &retrier).await {
            Ok(answer) => break answer,
            Err(failure) => retrier.handle_failure(node, authorized, failure).await?,
        }
    };
    retrier.record_success(node, &attempt).await;
    drop(attempt);
    let field: Option<UsageField> = serde_json::from_slice(&body).ok();
    let usage = field.map(|field| field.usage).unwrap_or_default();
    guard.set_actual_cost(usage.cost(estimate_cost(authorized, call)));
    record_usage(node, authorized, &usage, started);
    node.record(event::Kind::Answered {
        request: authorized.request.clone(),
        team: authorized.team.clone(),
        status: head.status.as_u16(),
    });
    strip_connection_headers(&mut head.headers);
    Ok(Reply { head, body })
}

/// Makes one attempt to run a request and returns the complete response.
async fn run_once(
    node: &Arc<Node>,
    authorized: &AuthorizedRequest,
    call: &Call,
    retrier: &Retrier,
) -> Result<(Attempt, http::response::Parts, Bytes), Failure> {
    let (attempt, exchange) = send_once(node, authorized, call, retrier).await?;
    let limit = usize::try_from(authorized.route.max_answer_bytes).unwrap_or(usize::MAX);
    let read = upstream::read_whole(exchange, limit);
    let read = tokio::time::timeout_at(node.clock.timer(authorized.deadline), read).await;
    let (head, body) = match read {
        Ok(Ok(response)) => response.into_parts(),
        Ok(Err(error)) => return Err(call_failure(authorized, attempt, &error)),
        Err(_) => return Err(attempt::timed_out(authorized, attempt)),
    };
    if !is_complete(authorized, &head, &body) {
        return Err(may_have_run(authorized, attempt, "the target's answer is cut short"));
    }
    Ok((attempt, head, body))
}

/// Returns whether an engine's response has a complete body; always true for plain services and
/// error responses.
fn is_complete(authorized: &AuthorizedRequest, head: &http::response::Parts, body: &Bytes) -> bool {
    if authorized.route.kind == config::Kind::Service || !head.status.is_success() {
        return true;
    }
    let content_type = head.headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    if content_type.is_some_and(|value| value.starts_with(EVENT_STREAM)) {
        return body.trim_ascii_end().ends_with(b"data: [DONE]");
    }
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

/// Estimates the cost of a request in tokens.
///
/// A plain-service call costs one token; a completion costs its prompt and its longest possible
/// output.
pub fn estimate_cost(authorized: &AuthorizedRequest, call: &Call) -> Tokens {
    #[derive(Deserialize)]
    struct TokenLimit {
        max_tokens: Option<u64>,
    }
    match &authorized.route.kind {
        config::Kind::Service => Tokens::new(1),
        config::Kind::Model(_) => {
            let limit: Option<TokenLimit> = serde_json::from_slice(&call.body).ok();
            let longest = limit.and_then(|limit| limit.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
            let longest = longest.min(MAX_ESTIMATED_TOKENS);
            Tokens::new(call.body.len() as u64 / BYTES_PER_TOKEN + longest)
        }
    }
}

fn is_gateway_error(status: StatusCode) -> bool {
    [StatusCode::BAD_GATEWAY, StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT]
        .contains(&status)
}

/// Adds what a request used to the current usage window; `started` is when it was admitted.
pub fn record_usage(node: &Node, authorized: &AuthorizedRequest, usage: &Usage, started: Instant) {
    let model = match &authorized.route.kind {
        config::Kind::Model(model) => model.clone(),
        config::Kind::Service => {
            let id = authorized.route.id.as_str();
            id.parse().expect("a route id is valid as a model id")
        }
    };
    let elapsed = node.clock.now().saturating_duration_since(started);
    let record = Record {
        team: authorized.team.clone(),
        model,
        prompt_tokens: Tokens::new(usage.prompt_tokens),
        completion_tokens: Tokens::new(usage.completion_tokens),
        target_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    };
    let window = crate::usage::window_at(node.clock.wall_ms(), node.settings.usage_window_ms);
    node.meter().add(window, &record);
}

/// Creates a call to an engine's completion API with a JSON body.
pub fn engine_call(path: &str, body: Bytes) -> Call {
    let json = HeaderValue::from_static("application/json");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, json)]);
    Call { method: Method::POST, path: path.to_owned(), headers, body }
}

/// Removes hop-by-hop headers and the content length.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in [header::CONNECTION, header::TRANSFER_ENCODING, header::CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

fn target_request(
    node: &Node,
    authorized: &AuthorizedRequest,
    call: &Call,
    address: &str,
) -> Result<Request<Full<Bytes>>, Box<Refusal>> {
    let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
    let query = credential::strip_query(query);
    let path = if query.is_empty() { path.to_owned() } else { format!("{path}?{query}") };
    let invalid = |what: &str| {
        Refusal::not_run(
            authorized.request.clone(),
            Code::BadRequest,
            format!("{what} is not valid"),
        )
    };
    let uri = upstream::uri(address, &path).ok_or_else(|| invalid("the path"))?;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(uri)
        .header(REQUEST_ID, authorized.request.as_str());
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    if let Some(credential) = &node.settings.target_credential {
        let credential = credential.expose();
        request = request.header(header::AUTHORIZATION, format!("Bearer {credential}"));
    }
    if authorized.route.idempotent {
        request = request.extension(Repeatable);
    }
    request.body(Full::new(call.body.clone())).map_err(|_| invalid("the request").into())
}

fn echoes_id(headers: &HeaderMap, request: &RequestId) -> bool {
    headers.get(REQUEST_ID).is_some_and(|value| value.as_bytes() == request.as_str().as_bytes())
}

/// Returns the failure of an attempt whose call to the target failed.
pub fn call_failure(
    authorized: &AuthorizedRequest,
    attempt: Attempt,
    error: &CallError,
) -> Failure {
    let (ran, effect, broken) = match error {
        CallError::Connect => (Ran::No, Effect::Unsent, false),
        CallError::Broken => (Ran::Maybe, Effect::MayHaveRun, true),
        CallError::Malformed | CallError::Lost => (Ran::Maybe, Effect::MayHaveRun, false),
        CallError::TooLong { .. } => (Ran::Yes, Effect::MayHaveRun, false),
    };
    let message = format!("the target failed: {error}");
    let refusal = Refusal::not_run(authorized.request.clone(), Code::TargetFailed, message);
    Failure { effect, refusal: refusal.with_ran(ran).into(), attempt: Some(attempt), broken }
}

fn may_have_run(authorized: &AuthorizedRequest, attempt: Attempt, message: &str) -> Failure {
    let refusal = Refusal::not_run(authorized.request.clone(), Code::TargetFailed, message);
    let refusal = refusal.with_ran(Ran::Maybe).into();
    Failure { effect: Effect::MayHaveRun, refusal, attempt: Some(attempt), broken: false }
}
