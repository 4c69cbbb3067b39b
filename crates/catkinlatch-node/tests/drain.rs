//! Draining a node: its readiness, status and responses meanwhile; also metrics and logs.

#[path = "drain/client.rs"]
mod client;

use catkinlatch_node::{Server, Settings};
use client::Client;
use http::{Method, StatusCode};
use std::sync::{Arc, Mutex, PoisonError};

async fn start(address_time_to_live_ms: u64) -> Server {
    let (host, zone) = ("host-1".parse(), "zone-a".parse());
    let settings = Settings::loopback(host.expect("valid"), zone.expect("valid"));
    Server::start(Settings { address_time_to_live_ms, ..settings }).await.expect("the node starts")
}

#[tokio::test]
async fn draining_node_leaves_the_list_and_still_serves() {
    let server = start(60_000).await;
    let (operator, caller) =
        (Client::new(server.operator_address()), Client::new(server.address()));
    assert_eq!(operator.send(Method::GET, "/v1/ready").await.status(), StatusCode::OK);
    let listed = caller.json("/v1/entry").await;
    assert_eq!(listed["addresses"].as_array().map(Vec::len), Some(1));
    assert_eq!(operator.send(Method::POST, "/v1/drain").await.status(), StatusCode::OK);
    let status = operator.send(Method::GET, "/v1/ready").await.status();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(caller.json("/v1/entry").await["addresses"].as_array().map(Vec::len), Some(0));
    assert_eq!(operator.json("/v1/status").await["nodes"][0]["draining"], true);
    let response = caller.send(Method::GET, "/v1/services/none/x").await;
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(response.headers()["connection"], "close");
    server.stop().await.expect("the node stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_keeps_the_address_served_for_its_time_to_live() {
    let server = start(500).await;
    let (node, caller) = (server.node().clone(), Client::new(server.address()));
    let drained = tokio::spawn(server.drain());
    node.drain.wait_begun().await;
    let response = caller.send(Method::GET, "/v1/services/none/x").await;
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    drained.await.expect("the task ends").expect("the node stops");
    assert!(caller.try_send(Method::GET, "/v1/entry").await.is_err());
}

#[tokio::test]
async fn metrics_are_text() {
    let server = start(0).await;
    metrics::counter!("catkinlatch_test_total").increment(3);
    let response = Client::new(server.operator_address()).send(Method::GET, "/v1/metrics").await;
    let text = String::from_utf8_lossy(response.body()).into_owned();
    assert!(text.contains("catkinlatch_test_total 3"), "{text}");
}

/// A logger that stores all lines.
#[derive(Default)]
struct LogBuffer(Mutex<Vec<String>>);

impl log::Log for LogBuffer {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!("{} {}", record.target(), record.args());
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    fn flush(&self) {}
}

#[tokio::test]
async fn logs_hold_no_query_and_no_key() {
    let buffer = Arc::new(LogBuffer::default());
    log::set_boxed_logger(Box::new(SharedLogger(buffer.clone())))
        .expect("the only logger of this test");
    log::set_max_level(log::LevelFilter::Trace);
    let server = start(0).await;
    let caller = Client::new(server.address());
    for path in ["/v1/services/none/x?api_key=ck_a_hidden", "/v1/nothing?key=ck_a_hidden"] {
        caller.send(Method::GET, path).await;
    }
    server.stop().await.expect("the node stops");
    let lines = buffer.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
    assert!(lines.iter().any(|line| line.contains("/v1/services/none/x")), "{lines:#?}");
    assert!(!lines.iter().any(|line| line.contains("hidden")), "{lines:#?}");
}

/// Makes the stored lines available to the test, since the installed logger is owned by `log`.
struct SharedLogger(Arc<LogBuffer>);

impl log::Log for SharedLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        self.0.log(record);
    }

    fn flush(&self) {}
}
