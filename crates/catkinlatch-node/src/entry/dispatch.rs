//! Sending an admitted request to a target and checking that the answer is its own.

use super::{Code, Ran, Refusal, Ticket, credential, request::REQUEST_ID};
use crate::{
    Node,
    upstream::{self, CallError},
};
use bytes::Bytes;
use catkinlatch_base::{Instant, RequestId, TargetId, Tokens, event};
use catkinlatch_fleet::meter::Record;
use catkinlatch_route::{Key, target};
use catkinlatch_state::config;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use std::sync::Arc;

/// What to send to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and query, without credentials.
    pub path: String,
    /// The headers, without credentials.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// The head, without headers that concern one connection only.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

/// The token counts in an engine's answer.
#[derive(Debug, Default, Deserialize)]
pub struct Usage {
    /// Tokens read.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Counted {
    #[serde(default)]
    usage: Usage,
}

/// A request under way on a target; counts as outstanding until dropped.
pub struct Running {
    /// The target.
    pub target: TargetId,
    address: String,
    node: Arc<Node>,
    key: Key,
}

impl Running {
    /// Chooses a target for `ticket`.
    pub fn begin(node: &Arc<Node>, ticket: &Ticket) -> Result<Self, Box<Refusal>> {
        let now = node.clock.now();
        let mut table = node.table();
        let key = match &ticket.route.kind {
            config::Kind::Model(model) => table.choose_engine(model, now),
            config::Kind::Service => table.choose_service(&ticket.route.id, now),
        };
        let entry = key.and_then(|key| table.get(key).map(|entry| (key, entry)));
        let Some((key, entry)) = entry else {
            let message = "no target serves this route now; retry in a moment";
            let refusal = Refusal::not_run(ticket.request.clone(), Code::NoTarget, message);
            return Err(refusal.with_retry_after_ms(1000).into());
        };
        let target::Announcement { id: target, address, .. } = entry.announcement.clone();
        table.begin(key);
        drop(table);
        Ok(Self { target, address, node: node.clone(), key })
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.node.table().end(self.key);
    }
}

/// Sends a request to a target and returns the head of its answer.
pub async fn send(
    node: &Arc<Node>,
    ticket: &Ticket,
    call: &Call,
) -> Result<(Running, Response<Incoming>), Box<Refusal>> {
    let running = Running::begin(node, ticket)?;
    let request = target_request(node, ticket, call, &running.address)?;
    node.record(event::Kind::Sent {
        request: ticket.request.clone(),
        team: ticket.team.clone(),
        target: running.target.clone(),
    });
    let sent = node.upstream.send(request);
    let response = match tokio::time::timeout_at(node.clock.timer(ticket.deadline), sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(failed(ticket, &error).into()),
        Err(_) => return Err(late(ticket).into()),
    };
    if !echoes(response.headers(), &ticket.request) {
        let message = "the target answered another request; retry if that does no harm";
        let refusal = Refusal::not_run(ticket.request.clone(), Code::TargetFailed, message);
        return Err(refusal.with_ran(Ran::Maybe).into());
    }
    Ok((running, response))
}

/// Sends a request to a target and returns its whole answer.
pub async fn run_whole(
    node: &Arc<Node>,
    ticket: &Ticket,
    call: &Call,
) -> Result<Reply, Box<Refusal>> {
    let started = node.clock.now();
    let (running, response) = send(node, ticket, call).await?;
    let (mut head, body) = response.into_parts();
    let limit = usize::try_from(ticket.route.max_answer_bytes).unwrap_or(usize::MAX);
    let read = upstream::read_body(body, limit);
    let body = match tokio::time::timeout_at(node.clock.timer(ticket.deadline), read).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(failed(ticket, &error).into()),
        Err(_) => return Err(late(ticket).into()),
    };
    drop(running);
    let counted: Option<Counted> = serde_json::from_slice(&body).ok();
    let usage = counted.map(|counted| counted.usage).unwrap_or_default();
    meter(node, ticket, &usage, started);
    node.record(event::Kind::Answered {
        request: ticket.request.clone(),
        team: ticket.team.clone(),
        status: head.status.as_u16(),
    });
    strip_connection_headers(&mut head.headers);
    Ok(Reply { head, body })
}

/// Counts what a request used.
pub fn meter(node: &Node, ticket: &Ticket, usage: &Usage, started: Instant) {
    let model = match &ticket.route.kind {
        config::Kind::Model(model) => model.clone(),
        config::Kind::Service => {
            let id = ticket.route.id.as_str();
            id.parse().expect("a route id is valid as a model id")
        }
    };
    let elapsed = node.clock.now().saturating_duration_since(started);
    let record = Record {
        team: ticket.team.clone(),
        model,
        prompt_tokens: Tokens::new(usage.prompt_tokens),
        completion_tokens: Tokens::new(usage.completion_tokens),
        target_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    };
    let window = crate::usage::window_at(node.clock.wall_ms(), node.settings.usage_window_ms);
    node.meter().add(window, &record);
}

/// Makes the call of an engine's completion interface.
pub fn engine_call(path: &str, body: Bytes) -> Call {
    let json = HeaderValue::from_static("application/json");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, json)]);
    Call { method: Method::POST, path: path.to_owned(), headers, body }
}

/// Removes headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in [header::CONNECTION, header::TRANSFER_ENCODING, header::CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

fn target_request(
    node: &Node,
    ticket: &Ticket,
    call: &Call,
    address: &str,
) -> Result<Request<Full<Bytes>>, Box<Refusal>> {
    let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
    let query = credential::strip_query(query);
    let path = if query.is_empty() { path.to_owned() } else { format!("{path}?{query}") };
    let invalid = |what: &str| {
        Refusal::not_run(ticket.request.clone(), Code::BadRequest, format!("{what} is not valid"))
    };
    let uri = upstream::uri(address, &path).ok_or_else(|| invalid("the path"))?;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(uri)
        .header(REQUEST_ID, ticket.request.as_str());
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    if let Some(credential) = &node.settings.target_credential {
        let credential = credential.expose();
        request = request.header(header::AUTHORIZATION, format!("Bearer {credential}"));
    }
    request.body(Full::new(call.body.clone())).map_err(|_| invalid("the request").into())
}

fn echoes(headers: &HeaderMap, request: &RequestId) -> bool {
    headers.get(REQUEST_ID).is_some_and(|value| value.as_bytes() == request.as_str().as_bytes())
}

fn failed(ticket: &Ticket, error: &CallError) -> Refusal {
    let ran = match error {
        CallError::Connect => Ran::No,
        CallError::Broken => Ran::Maybe,
        CallError::TooLong { .. } => Ran::Yes,
    };
    let message = format!("the target failed: {error}");
    Refusal::not_run(ticket.request.clone(), Code::TargetFailed, message).with_ran(ran)
}

fn late(ticket: &Ticket) -> Refusal {
    let message = "the target did not answer before the route's deadline";
    let refusal = Refusal::not_run(ticket.request.clone(), Code::Deadline, message);
    refusal.with_ran(Ran::Maybe)
}
