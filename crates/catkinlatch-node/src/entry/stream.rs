//! Answers that are passed on as they come.

use super::{
    Refusal, Ticket,
    admission::{self, Pass},
    dispatch::{self, Call, Running, Usage},
};
use crate::Node;
use bytes::Bytes;
use catkinlatch_base::{Instant, Tokens, event};
use catkinlatch_route::admission::Class;
use dropshot::Body;
use http::Response;
use http_body_util::{
    BodyExt,
    channel::{Channel, Sender},
};
use hyper::body::Incoming;
use serde::Deserialize;
use std::{io, sync::Arc};

/// How many chunks may wait for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

#[derive(Debug, Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

/// Sends a request to a target and passes its answer on while it comes.
pub async fn run_streamed(
    node: &Arc<Node>,
    ticket: Ticket,
    call: &Call,
) -> Result<Response<Body>, Box<Refusal>> {
    let estimate = dispatch::cost(&ticket, call);
    let mut pass = admission::admit(node, &ticket, Class::Live, estimate).await?;
    let started = node.clock.now();
    pass.set_sent();
    let (running, response) = dispatch::send(node, &ticket, call).await?;
    let (mut head, body) = response.into_parts();
    dispatch::strip_connection_headers(&mut head.headers);
    let (sender, channel) = Channel::<Bytes, io::Error>::new(BUFFERED_CHUNKS);
    let relay = Relay { node: node.clone(), ticket, running, started, pass, estimate };
    tokio::spawn(relay.run(body, sender));
    Ok(Response::from_parts(head, Body::wrap(channel)))
}

/// Passes one answer on.
struct Relay {
    node: Arc<Node>,
    ticket: Ticket,
    running: Running,
    started: Instant,
    pass: Pass,
    estimate: Tokens,
}

impl Relay {
    async fn run(self, mut body: Incoming, mut sender: Sender<Bytes, io::Error>) {
        let mut usage = Usage::default();
        loop {
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => {
                    let error = io::Error::other("the answer is partial: the target failed");
                    sender.abort(error);
                    return;
                }
                None => break,
            };
            if let Some(data) = frame.data_ref() {
                read_usage(data, &mut usage);
            }
            if sender.send(frame).await.is_err() {
                return;
            }
        }
        let Relay { node, ticket, running, started, mut pass, estimate } = self;
        drop(running);
        pass.set_spent(usage.cost(estimate));
        drop(pass);
        dispatch::meter(&node, &ticket, &usage, started);
        node.record(event::Kind::Answered {
            request: ticket.request,
            team: ticket.team,
            status: 200,
        });
    }
}

/// Takes the token counts from the chunk that holds them.
fn read_usage(data: &Bytes, usage: &mut Usage) {
    for line in data.split(|byte| *byte == b'\n') {
        let Some(json) = line.strip_prefix(b"data: ") else { continue };
        let Ok(Chunk { usage: Some(counts) }) = serde_json::from_slice(json) else { continue };
        *usage = counts;
    }
}
