//! Callers that send live requests and read streams.

use super::context::Context;
use crate::site::CRASHING_BODY;
use bytes::Bytes;
use http::{Response, StatusCode};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Pause of a caller after a request.
const PAUSE: Duration = Duration::from_millis(15);

/// Sends live requests, one at a time, until the test stops.
pub async fn call_services(context: Arc<Context>, caller: usize, mut random: fastrand::Rng) {
    for number in 0_u64.. {
        if context.is_stopping() {
            return;
        }
        let path = if random.bool() { "/survey/1" } else { "/single/1" };
        let id = format!("live-{caller}-{number}");
        let answer = context.fetch(&mut random, ("POST", path), &id, "ask").await;
        record_answer(&context, &id, answer);
        time::sleep(PAUSE).await;
    }
}

/// Records the outcome of a live request.
///
/// It is a violation if a successful answer is not that of this request, or if another status
/// than success or a server error is returned.
fn record_answer(context: &Context, id: &str, answer: Option<Response<Bytes>>) {
    let mut record = context.record();
    record.requests += 1;
    let Some(answer) = answer else { return };
    match answer.status() {
        StatusCode::OK => {
            record.served += 1;
            let seal = answer.headers().get("server-seal").and_then(|seal| seal.to_str().ok());
            let is_own = seal == Some(&format!("seal-of-{id}"))
                && answer.body() == format!("answer to {id}").as_bytes();
            record.check(is_own, || format!("{id} got {answer:?}"));
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            record.refused.insert(id.to_owned());
        }
        status => record.check(status.is_server_error(), || format!("{id} got {status}")),
    }
}

/// How often a request that crashes its targets comes, by each time with another id.
const CRASHING_CALLS: usize = 12;

/// Pause between two such calls.
const CRASHING_PAUSE: Duration = Duration::from_millis(250);

/// Returns the body of a request that crashes its targets; `number` tells it from others.
pub fn crashing_body(number: u32) -> String {
    format!("{CRASHING_BODY}-{number}")
}

/// Sends a request that crashes its targets several times.
pub async fn send_crashing(
    context: Arc<Context>,
    path: &'static str,
    body: String,
    mut random: fastrand::Rng,
) {
    for number in 0..CRASHING_CALLS {
        if context.is_stopping() {
            return;
        }
        let id = format!("{body}-{number}");
        let _ = context.fetch(&mut random, ("POST", path), &id, &body).await;
        time::sleep(CRASHING_PAUSE).await;
    }
}

/// Reads streams, one at a time, until the test stops.
pub async fn read_streams(context: Arc<Context>, mut random: fastrand::Rng) {
    for number in 0_u64.. {
        if context.is_stopping() {
            return;
        }
        read_stream(&context, &format!("chat-{number}"), &mut random).await;
        time::sleep(PAUSE).await;
    }
}

/// Reads one stream and records its outcome.
///
/// It is a violation if events are missing, repeated or out of order, or if the stream ends
/// regularly before its last event.
async fn read_stream(context: &Context, id: &str, random: &mut fastrand::Rng) {
    let Some(mut exchange) = context.open(random, ("POST", "/chat/1"), id, "ask").await else {
        return;
    };
    if exchange.response.status() == StatusCode::SERVICE_UNAVAILABLE {
        context.record().refused.insert(id.to_owned());
    }
    if exchange.response.status() != StatusCode::OK {
        return;
    }
    let mut text = String::new();
    let is_whole = loop {
        match exchange.next().await {
            Ok(Some(part)) => text.push_str(&String::from_utf8_lossy(&part)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let event = |number: u64| format!("id: {number}\ndata: {id} event {number}\n\n");
    let count = text.matches("\n\n").count() as u64;
    let expected: String = (1..=count).map(event).collect();
    let events = context.engines[0].state().events;
    let mut record = context.record();
    record.streams += u64::from(is_whole);
    record.check(text == expected, || format!("{id} got {text:?}"));
    record.check(!is_whole || count == events, || format!("{id} ended after {count} events"));
}
