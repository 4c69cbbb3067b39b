//! Callers of live routes.

use super::world::World;
use bytes::Bytes;
use http::{Response, StatusCode};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long a caller rests after a request.
const REST: Duration = Duration::from_millis(15);

/// Sends live requests one after another.
pub async fn call_services(world: Arc<World>, caller: usize, mut random: fastrand::Rng) {
    for number in 0_u64.. {
        if world.stops() {
            return;
        }
        let path = if random.bool() { "/survey/1" } else { "/single/1" };
        let id = format!("live-{caller}-{number}");
        let answer = world.ask(&mut random, ("POST", path), &id, "ask").await;
        note_answer(&world, &id, answer);
        time::sleep(REST).await;
    }
}

/// Notes what became of a live request; an answer must be its own.
fn note_answer(world: &World, id: &str, answer: Option<Response<Bytes>>) {
    let mut record = world.record();
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

/// Reads streams one after another.
pub async fn read_streams(world: Arc<World>, mut random: fastrand::Rng) {
    for number in 0_u64.. {
        if world.stops() {
            return;
        }
        read_stream(&world, &format!("chat-{number}"), &mut random).await;
        time::sleep(REST).await;
    }
}

/// Reads one stream, whose events must follow each other and be whole at its end.
async fn read_stream(world: &World, id: &str, random: &mut fastrand::Rng) {
    let Some(mut exchange) = world.open(random, ("POST", "/chat/1"), id, "ask").await else {
        return;
    };
    if exchange.response.status() == StatusCode::SERVICE_UNAVAILABLE {
        world.record().refused.insert(id.to_owned());
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
    let events = world.engines[0].memory().events;
    let mut record = world.record();
    record.streams += u64::from(is_whole);
    record.check(text == expected, || format!("{id} got {text:?}"));
    record.check(!is_whole || count == events, || format!("{id} ended after {count} events"));
}
