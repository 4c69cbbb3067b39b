//! Draining of a node with requests in flight.

use catkinlatch_base::event::Kind as Event;
use catkinlatch_node::{Node, Server, Settings};
use catkinlatch_standin::{
    client::Client,
    engine::{Engine, Options},
};
use catkinlatch_state::{
    Command,
    config::{Change, Edit, Kind, Model, Route},
};
use serde_json::json;
use std::{
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
    time::Duration,
};
use test_case::test_case;

/// Number of tokens in the answer.
const TOKENS: usize = 40;

fn id<T: FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("the id {text:?} is valid"))
}

/// Configures a model and an open route to it.
async fn configure(node: &Node) {
    let route = Route::new(id("draft"), Kind::Model(id("draft"))).with_open(true);
    let edits = vec![Edit::PutModel(Model::new(id("draft"))), Edit::PutRoute(route)];
    let change = Change { request: id("setup"), base: None, edits };
    node.control.propose(Command::Config(change)).await.expect("the change is committed");
}

/// Waits until a request has been sent to a target.
async fn wait_until_sent(node: &Node) {
    while !node.timeline.events().iter().any(|event| matches!(event.kind, Event::Sent { .. })) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test_case(true; "streamed")]
#[test_case(false; "whole")]
#[tokio::test(flavor = "multi_thread")]
async fn drain_cuts_no_request(stream: bool) {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings::loopback(id("host-1"), id("zone-a"));
    let settings = Settings { address_time_to_live_ms: 0, ..settings };
    let server = Server::start(settings).await.expect("the node starts");
    let (node, address) = (server.node().clone(), server.address());
    configure(&node).await;
    let options = Options { token_time: Duration::from_millis(10), ..Options::default() };
    let engine =
        Engine::start(id("engine-1"), id("draft"), id("zone-a"), options, any_port, vec![address]);
    let engine = engine.await.expect("the engine starts");
    let body = json!({ "model": "draft", "prompt": "p", "max_tokens": TOKENS, "stream": stream });
    let caller = Client::new(address);
    let request = tokio::spawn(async move { caller.post("/v1/completions", &body).await });
    wait_until_sent(&node).await;
    server.drain().await.expect("the node stops");
    let response = request.await.expect("the task ends").expect("the answer is complete");
    let text = String::from_utf8_lossy(response.body()).into_owned();
    assert_eq!(response.status(), 200, "{text}");
    assert!(text.contains(&format!("t{} ", TOKENS - 1)), "{text}");
    engine.stop().await.expect("the engine stops");
}

/// Guards against a planned stop that resets connections whose requests have just been sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_sent_just_before_a_stop_are_answered() {
    let settings = Settings::loopback(id("host-1"), id("zone-a"));
    let settings = Settings { address_time_to_live_ms: 0, ..settings };
    let server = Server::start(settings).await.expect("the node starts");
    let address = server.address();
    let connect = || std::net::TcpStream::connect(address).expect("the node listens");
    let request = b"POST /v1/services/survey/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    let mut sockets: Vec<_> = (0..8).map(|_| connect()).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    sockets.extend((0..24).map(|_| connect()));
    for socket in &mut sockets {
        socket.write_all(request).expect("the connection is open");
    }
    server.stop().await.expect("the node stops");
    let answered = sockets.iter_mut().filter_map(|socket| {
        let mut answer = [0; 12];
        socket.set_read_timeout(Some(Duration::from_secs(5))).expect("the timeout is valid");
        socket.read_exact(&mut answer).ok().map(|()| answer)
    });
    assert_eq!(answered.filter(|answer| answer.starts_with(b"HTTP/1.1 ")).count(), 32);
}
