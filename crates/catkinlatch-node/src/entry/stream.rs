//! Answers that are passed on as they come, from one target after another if need be.

use super::{
    Code, Ran, Refusal, Usage,
    admission::Pass,
    dispatch::{self, Call, EVENT_STREAM, Reply},
    live,
    request::Caller,
    running::{self, Running},
    sse::{self, Events, Meaning},
    tries::{Failure, Tries},
};
use crate::{
    Node,
    upstream::{self, CallError},
};
use bytes::Bytes;
use catkinlatch_base::{Instant, event};
use catkinlatch_route::retry::Effect;
use dropshot::Body;
use http::{HeaderMap, HeaderValue, Response, header};
use http_body_util::{
    BodyExt,
    channel::{Channel, Sender},
};
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::{io, sync::Arc, time::Duration};
use tokio::time;

/// How many chunks may wait for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

/// How long a stream may go on after its key was withdrawn.
const WITHDRAWN_GRACE: Duration = Duration::from_secs(2);

/// How long the last event has to reach the caller before the connection is cut.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// The header in which an engine says from which token on it resumed.
pub const RESUMED: &str = "catkinlatch-resumed";

/// Sends a request to a target and passes its answer on while it comes.
pub async fn run_streamed(
    node: &Arc<Node>,
    caller: Caller,
    call: Call,
) -> Result<Response<Body>, Box<Refusal>> {
    let mut pass = live::admit(node, &caller, &call).await?;
    let started = node.clock.now();
    pass.set_sent();
    let mut tries = Tries::new(node, &caller.ticket, &call);
    let (running, response) = dispatch::send(node, &caller.ticket, &call, &mut tries).await?;
    let (mut head, body) = response.into_parts();
    dispatch::strip_connection_headers(&mut head.headers);
    if !is_event_stream(&head.headers) {
        let reply = read_whole(node, &caller, running, head, body, &mut tries).await?;
        return Ok(Response::from_parts(reply.head, Body::from(reply.body)));
    }
    let (sender, channel) = Channel::<Bytes, io::Error>::new(BUFFERED_CHUNKS);
    let node = node.clone();
    let (usage, text, tokens) = Default::default();
    let relay = Relay { node, caller, call, tries, started, pass, usage, text, tokens, sender };
    tokio::spawn(relay.run(running, body));
    Ok(Response::from_parts(head, Body::wrap(channel)))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    content_type.is_some_and(|value| value.starts_with(EVENT_STREAM))
}

/// Reads an answer that does not come as events, such as an error.
async fn read_whole(
    node: &Arc<Node>,
    caller: &Caller,
    running: Running,
    head: http::response::Parts,
    body: Incoming,
    tries: &mut Tries,
) -> Result<Reply, Box<Refusal>> {
    let limit = usize::try_from(caller.ticket.route.max_answer_bytes).unwrap_or(usize::MAX);
    let read = upstream::read_body(body, limit);
    let until = node.clock.timer(caller.ticket.deadline);
    let failure = match time::timeout_at(until, read).await {
        Ok(Ok(body)) => {
            tries.succeed(node, &running).await;
            return Ok(Reply { head, body });
        }
        Ok(Err(error)) => dispatch::failed(&caller.ticket, running, &error),
        Err(_) => running::late(&caller.ticket, running),
    };
    Err(tries.give_up(node, failure).await)
}

/// How the answer of one target ended.
enum End {
    /// The answer is whole.
    Whole,
    /// The caller left.
    Left,
    /// The target failed.
    Broken,
    /// The answer is cut for a reason of this node.
    Cut(Code, &'static str),
}

/// Passes one answer on.
struct Relay {
    node: Arc<Node>,
    caller: Caller,
    call: Call,
    tries: Tries,
    started: Instant,
    pass: Pass,
    usage: Usage,
    text: String,
    tokens: u64,
    sender: Sender<Bytes, io::Error>,
}

impl Relay {
    async fn run(mut self, mut running: Running, mut body: Incoming) {
        loop {
            match self.pump(body).await {
                End::Whole => return self.finish(running).await,
                End::Left => return self.tries.leave(&self.node, running).await,
                End::Cut(code, message) => {
                    self.tries.leave(&self.node, running).await;
                    return self.abort(code, message).await;
                }
                End::Broken => {}
            }
            match self.resume(running).await {
                Some((next, rest)) => (running, body) = (next, rest),
                None => {
                    let message = "the answer is partial: the target failed";
                    return self.abort(Code::TargetFailed, message).await;
                }
            }
        }
    }

    /// Passes whole events on until the target's answer ends.
    async fn pump(&mut self, mut body: Incoming) -> End {
        let deadline = self.node.clock.timer(self.caller.ticket.deadline);
        let mut changes = self.node.control.changes();
        let mut events = Events::default();
        let mut cut = deadline;
        loop {
            let in_force = self.caller.is_in_force(&self.node);
            if !in_force && cut == deadline {
                cut = deadline.min(time::Instant::now() + WITHDRAWN_GRACE);
            }
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = time::sleep_until(cut) => return self.cut(in_force),
                Ok(()) = changes.changed() => continue,
            };
            let Some(Ok(frame)) = frame else { return End::Broken };
            let Some(data) = frame.data_ref() else { continue };
            if !events.push(data) {
                return End::Broken;
            }
            while let Some(event) = events.next() {
                let done = self.note(&event);
                if self.sender.send_data(event).await.is_err() {
                    return End::Left;
                }
                if done {
                    return End::Whole;
                }
            }
        }
    }

    fn cut(&self, in_force: bool) -> End {
        match in_force {
            true => End::Cut(Code::Deadline, "the answer is partial: the deadline passed"),
            false => End::Cut(Code::Unauthorized, "the answer is partial: the key was withdrawn"),
        }
    }

    /// Takes what is needed to resume and to count from an event; returns whether it is the last.
    fn note(&mut self, event: &Bytes) -> bool {
        match sse::read(event) {
            Meaning::Text(text) => {
                self.tokens += u64::from(!text.is_empty());
                self.text.push_str(&text);
                false
            }
            Meaning::Usage(usage) => {
                self.usage = usage;
                false
            }
            Meaning::Done => true,
            Meaning::Other => false,
        }
    }

    /// Asks another target for the rest of the answer.
    async fn resume(&mut self, broken: Running) -> Option<(Running, Incoming)> {
        let ticket = &self.caller.ticket;
        let failure = dispatch::failed(ticket, broken, &CallError::Broken);
        self.tries.after(&self.node, ticket, failure).await.ok()?;
        let call = self.rest_of_call()?;
        loop {
            let sent = dispatch::send(&self.node, ticket, &call, &mut self.tries).await;
            let (running, response) = sent.ok()?;
            let resumed = response.headers().get(RESUMED).and_then(|value| value.to_str().ok());
            if resumed.and_then(|text| text.parse().ok()) == Some(self.tokens) {
                return Some((running, response.into_body()));
            }
            let refusal =
                Refusal::not_run(ticket.request.clone(), Code::TargetFailed, "it cannot resume");
            let failure = Failure {
                effect: Effect::Perhaps,
                refusal: refusal.into(),
                running: Some(running),
                broken: false,
            };
            self.tries.after(&self.node, ticket, failure).await.ok()?;
        }
    }

    /// Makes the call for the rest of the answer.
    fn rest_of_call(&self) -> Option<Call> {
        let mut body: Value = serde_json::from_slice(&self.call.body).ok()?;
        let fields = body.as_object_mut()?;
        fields.insert("resume_text".to_owned(), json!(self.text));
        fields.insert("resume_tokens".to_owned(), json!(self.tokens));
        Some(Call { body: Bytes::from(body.to_string()), ..self.call.clone() })
    }

    async fn finish(mut self, running: Running) {
        self.tries.succeed(&self.node, &running).await;
        drop(running);
        let ticket = &self.caller.ticket;
        self.pass.set_spent(self.usage.cost(dispatch::cost(ticket, &self.call)));
        dispatch::meter(&self.node, ticket, &self.usage, self.started);
        self.node.record(event::Kind::Answered {
            request: ticket.request.clone(),
            team: ticket.team.clone(),
            status: 200,
        });
    }

    /// Tells the caller that the answer is partial, and cuts the connection.
    async fn abort(mut self, code: Code, message: &str) {
        let request = self.caller.ticket.request.clone();
        let refusal = Refusal::not_run(request.clone(), code, message).with_ran(Ran::Maybe);
        let document = json!({ "error": refusal, "partial": true });
        let sent = self.sender.send_data(sse::frame(&document)).await;
        self.node.record(event::Kind::Refused { request, code: code.to_string() });
        if sent.is_ok() {
            time::sleep(FLUSH_TIME).await;
            self.sender.abort(io::Error::other("the answer is partial"));
        }
    }
}
