//! Streamed responses, which are resumed at another target if one fails.

use super::{
    Code, Ran, Refusal, Usage,
    admission::Guard,
    attempt::{self, Attempt},
    dispatch::{self, Call, EVENT_STREAM, Reply},
    live,
    request::Caller,
    retry::{Failure, Retrier},
    sse::{self, Decoder, Event},
};
use crate::{
    Node,
    upstream::{self, CallError},
};
use bytes::Bytes;
use catkinlatch_base::{Instant, event};
use catkinlatch_route::retry::Effect;
use catkinlatch_runtime::http::Exchange;
use dropshot::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::channel::{Channel, Sender};
use serde_json::{Value, json};
use std::{io, sync::Arc, time::Duration};
use tokio::time;

/// Number of events buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

/// How long a stream may continue after its key was withdrawn.
const WITHDRAWN_KEY_GRACE: Duration = Duration::from_secs(2);

/// Time for the last event to reach the caller before the connection is aborted.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Header of an engine's response with the token from which on it resumed.
pub const RESUMED: &str = "catkinlatch-resumed";

/// Sends a request to a target and forwards the response as it arrives.
pub async fn run_streamed(
    node: &Arc<Node>,
    caller: Caller,
    call: Call,
) -> Result<Response<Body>, Box<Refusal>> {
    let mut guard = live::admit(node, &caller, &call).await?;
    let started = node.clock.now();
    guard.set_sent();
    let mut retrier = Retrier::new(node, &caller.authorized, &call);
    let (attempt, exchange) = dispatch::send(node, &caller.authorized, &call, &mut retrier).await?;
    if !is_event_stream(&exchange.response) {
        let reply = read_whole(node, &caller, attempt, exchange, &mut retrier).await?;
        return Ok(Response::from_parts(reply.head, Body::from(reply.body)));
    }
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = exchange.response.status();
    head.headers = exchange.response.headers().clone();
    dispatch::strip_connection_headers(&mut head.headers);
    let (sender, channel) = Channel::<Bytes, io::Error>::new(BUFFERED_CHUNKS);
    let node = node.clone();
    let (usage, text, tokens) = Default::default();
    let relay = Relay { node, caller, call, retrier, started, guard, usage, text, tokens, sender };
    tokio::spawn(relay.run(attempt, exchange));
    Ok(Response::from_parts(head, Body::wrap(channel)))
}

fn is_event_stream<T>(response: &Response<T>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    response.status() == StatusCode::OK
        && content_type.is_some_and(|value| value.starts_with(EVENT_STREAM))
}

/// Reads a response that is not an event stream, such as an error.
async fn read_whole(
    node: &Arc<Node>,
    caller: &Caller,
    attempt: Attempt,
    exchange: Exchange,
    retrier: &mut Retrier,
) -> Result<Reply, Box<Refusal>> {
    let limit = usize::try_from(caller.authorized.route.max_answer_bytes).unwrap_or(usize::MAX);
    let read = upstream::read_whole(exchange, limit);
    let until = node.clock.timer(caller.authorized.deadline);
    let failure = match time::timeout_at(until, read).await {
        Ok(Ok(response)) => {
            retrier.record_success(node, &attempt).await;
            let (mut head, body) = response.into_parts();
            dispatch::strip_connection_headers(&mut head.headers);
            return Ok(Reply { head, body });
        }
        Ok(Err(error)) => dispatch::call_failure(&caller.authorized, attempt, &error),
        Err(_) => attempt::timed_out(&caller.authorized, attempt),
    };
    Err(retrier.give_up(node, failure).await)
}

/// How the stream of one target ended.
enum End {
    /// The response is complete.
    Whole,
    /// The caller disconnected.
    Left,
    /// The target failed; the stream may be resumed at another.
    Failed(CallError),
    /// This node ends the stream early; holds the code and message for the caller.
    Cut(Code, &'static str),
}

/// Forwards one response to the caller.
struct Relay {
    node: Arc<Node>,
    caller: Caller,
    call: Call,
    retrier: Retrier,
    started: Instant,
    guard: Guard,
    usage: Usage,
    text: String,
    tokens: u64,
    sender: Sender<Bytes, io::Error>,
}

impl Relay {
    async fn run(mut self, mut attempt: Attempt, mut exchange: Exchange) {
        loop {
            let error = match self.forward_events(exchange).await {
                End::Whole => return self.finish(attempt).await,
                End::Left => return self.retrier.abandon(&self.node, attempt).await,
                End::Cut(code, message) => {
                    self.retrier.abandon(&self.node, attempt).await;
                    return self.abort(code, message).await;
                }
                End::Failed(error) => error,
            };
            match self.resume(attempt, &error).await {
                Some((next, rest)) => (attempt, exchange) = (next, rest),
                None => {
                    let message = "the answer is partial: the target failed";
                    return self.abort(Code::TargetFailed, message).await;
                }
            }
        }
    }

    /// Forwards complete events until the target's stream ends.
    async fn forward_events(&mut self, mut exchange: Exchange) -> End {
        let deadline = self.node.clock.timer(self.caller.authorized.deadline);
        let mut changes = self.node.control.changes();
        let mut decoder = Decoder::default();
        let mut cut = deadline;
        loop {
            let in_force = self.caller.is_in_force(&self.node);
            if !in_force && cut == deadline {
                cut = deadline.min(time::Instant::now() + WITHDRAWN_KEY_GRACE);
            }
            let part = tokio::select! {
                part = exchange.next() => part,
                () = time::sleep_until(cut) => return self.cut_reason(in_force),
                Ok(()) = changes.changed() => continue,
            };
            let data = match part {
                Ok(Some(data)) => data,
                Ok(None) => return End::Failed(CallError::Broken),
                Err(error) => return End::Failed(upstream::body_error(&error, usize::MAX)),
            };
            let is_within_limit = decoder.push(&data);
            while let Some(event) = decoder.next() {
                if !sse::is_valid(&event) {
                    return End::Failed(CallError::Malformed);
                }
                let done = self.record_event(&event);
                if self.sender.send_data(event).await.is_err() {
                    return End::Left;
                }
                if done {
                    return End::Whole;
                }
            }
            if !is_within_limit || exchange.hold(decoder.buffered()).is_err() {
                return End::Failed(CallError::Malformed);
            }
        }
    }

    fn cut_reason(&self, in_force: bool) -> End {
        match in_force {
            true => End::Cut(Code::Deadline, "the answer is partial: the deadline passed"),
            false => End::Cut(Code::Unauthorized, "the answer is partial: the key was withdrawn"),
        }
    }

    /// Records what is needed from an event to resume the stream and to count tokens; returns
    /// whether the event is the last.
    fn record_event(&mut self, event: &Bytes) -> bool {
        match sse::parse(event) {
            Event::Text(text) => {
                self.tokens += u64::from(!text.is_empty());
                self.text.push_str(&text);
                false
            }
            Event::Usage(usage) => {
                self.usage = usage;
                false
            }
            Event::Done => true,
            Event::Other => false,
        }
    }

    /// Resumes the response at another target; `None` if that is not possible.
    async fn resume(&mut self, lost: Attempt, error: &CallError) -> Option<(Attempt, Exchange)> {
        let authorized = &self.caller.authorized;
        let failure = dispatch::call_failure(authorized, lost, error);
        self.retrier.handle_failure(&self.node, authorized, failure).await.ok()?;
        let call = self.resume_call()?;
        loop {
            let sent = dispatch::send(&self.node, authorized, &call, &mut self.retrier).await;
            let (attempt, exchange) = sent.ok()?;
            let resumed =
                exchange.response.headers().get(RESUMED).and_then(|value| value.to_str().ok());
            let is_rest = resumed.and_then(|text| text.parse().ok()) == Some(self.tokens);
            if is_rest && is_event_stream(&exchange.response) {
                return Some((attempt, exchange));
            }
            let refusal = Refusal::not_run(
                authorized.request.clone(),
                Code::TargetFailed,
                "it cannot resume",
            );
            let failure = Failure {
                effect: Effect::MayHaveRun,
                refusal: refusal.into(),
                attempt: Some(attempt),
                broken: false,
            };
            self.retrier.handle_failure(&self.node, authorized, failure).await.ok()?;
        }
    }

    /// Builds the call for the rest of the response.
    fn resume_call(&self) -> Option<Call> {
        let mut body: Value = serde_json::from_slice(&self.call.body).ok()?;
        let fields = body.as_object_mut()?;
        fields.insert("resume_text".to_owned(), json!(self.text));
        fields.insert("resume_tokens".to_owned(), json!(self.tokens));
        Some(Call { body: Bytes::from(body.to_string()), ..self.call.clone() })
    }

    async fn finish(mut self, attempt: Attempt) {
        self.retrier.record_success(&self.node, &attempt).await;
        drop(attempt);
        let authorized = &self.caller.authorized;
        self.guard
            .set_actual_cost(self.usage.cost(dispatch::estimate_cost(authorized, &self.call)));
        dispatch::record_usage(&self.node, authorized, &self.usage, self.started);
        self.node.record(event::Kind::Answered {
            request: authorized.request.clone(),
            team: authorized.team.clone(),
            status: 200,
        });
    }

    /// Sends the caller an error event that marks the response as partial, then aborts the
    /// connection.
    async fn abort(mut self, code: Code, message: &str) {
        let request = self.caller.authorized.request.clone();
        let refusal = Refusal::not_run(request.clone(), code, message).with_ran(Ran::Maybe);
        let document = json!({ "error": refusal, "partial": true });
        let sent = self.sender.send_data(sse::encode(&document)).await;
        self.node.record(event::Kind::Refused { request, code: code.to_string() });
        if sent.is_ok() {
            time::sleep(FLUSH_TIME).await;
            self.sender.abort(io::Error::other("the answer is partial"));
        }
    }
}
