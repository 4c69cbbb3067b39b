//! Compares latency and throughput of requests through a node with those of requests that are sent
//! directly to a stand-in engine.
//!
//! Both paths are measured alternately within one run, so that their ratio is more reliable than
//! the absolute figures. The engine generates tokens without delay.

#![expect(clippy::print_stdout, reason = "the example prints its result")]

use bytes::Bytes;
use catkinlatch_node::{Server, Settings};
use catkinlatch_standin::{
    client::Client,
    engine::{Engine, Options},
};
use catkinlatch_state::{
    Command,
    config::{Change, Edit, Kind, Model, Route},
};
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;
use std::{
    fmt::Display,
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(1);

/// Number of measurements per path.
const MEASUREMENTS: u32 = 3;

/// Number of tokens in an answer.
const TOKENS: u64 = 8;

/// Number of engine slots: more than there are connections.
const SLOTS: u32 = 256;

/// The measurements of one path.
struct Path {
    /// Latencies in microseconds.
    latencies: Histogram<u64>,
    elapsed: Duration,
}

impl Path {
    fn new() -> Self {
        let latencies = Histogram::new(3).expect("the precision is valid");
        Self { latencies, elapsed: Duration::ZERO }
    }

    fn median_micros(&self) -> u64 {
        self.latencies.value_at_quantile(0.5)
    }

    fn per_second(&self) -> f64 {
        self.latencies.len() as f64 / self.elapsed.as_secs_f64()
    }
}

#[tokio::main]
async fn main() -> Result<(), String> {
    let settings = Settings::loopback(id("host-1"), id("zone-1"));
    let server = Server::start(settings).await.map_err(text)?;
    let route = Route::new(id("draft"), Kind::Model(id("draft"))).with_open(true);
    let route = route.with_idempotent(true);
    let edits = vec![Edit::PutModel(Model::new(id("draft"))), Edit::PutRoute(route)];
    let change = Change { request: id("setup"), base: None, edits };
    server.node().control.propose(Command::Config(change)).await.map_err(text)?;
    let listen = free_address()?;
    let options = Options { slots: SLOTS, token_time: Duration::ZERO, ..Options::default() };
    let nodes = vec![server.address()];
    let engine = Engine::start(id("e1"), id("draft"), id("zone-1"), options, listen, nodes).await?;
    println!("connections  answer    direct us  node us  ratio  direct/s  node/s  ratio");
    for connections in [1, 64] {
        for stream in [false, true] {
            let (mut direct, mut node) = (Path::new(), Path::new());
            for _ in 0..MEASUREMENTS {
                measure(listen, connections, stream, &mut direct).await?;
                measure(server.address(), connections, stream, &mut node).await?;
            }
            report(connections, stream, &direct, &node);
        }
    }
    engine.stop().await?;
    server.stop().await?;
    Ok(())
}

/// Sends requests over `connections` connections for [`MEASUREMENT_TIME`] and adds their latencies
/// to `path`.
async fn measure(
    address: SocketAddr,
    connections: usize,
    stream: bool,
    path: &mut Path,
) -> Result<(), String> {
    let body = json!({ "model": "draft", "prompt": "p", "max_tokens": TOKENS, "stream": stream });
    let body = Bytes::from(body.to_string());
    let begin = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..connections {
        callers.spawn(call(Client::new(address), body.clone(), begin + MEASUREMENT_TIME));
    }
    while let Some(called) = callers.join_next().await {
        for micros in called.map_err(text)?? {
            path.latencies.record(micros).map_err(text)?;
        }
    }
    path.elapsed += begin.elapsed();
    Ok(())
}

/// Sends requests, one at a time, until a point in time, and returns their latencies in
/// microseconds.
async fn call(client: Client, body: Bytes, until: Instant) -> Result<Vec<u64>, String> {
    let mut latencies = Vec::new();
    while Instant::now() < until {
        let id = format!("r-{:016x}", fastrand::u64(..));
        let headers = [("catkinlatch-request-id", id.as_str())];
        let begin = Instant::now();
        let sent = client.send(Method::POST, "/v1/completions", &headers, body.clone());
        let response = sent.await?;
        let micros = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
        if !response.status().is_success() {
            return Err(String::from_utf8_lossy(response.body()).into_owned());
        }
        latencies.push(micros);
    }
    Ok(latencies)
}

fn report(connections: usize, stream: bool, direct: &Path, node: &Path) {
    let answer = if stream { "streamed" } else { "whole" };
    let latency = node.median_micros() as f64 / direct.median_micros() as f64;
    let throughput = node.per_second() / direct.per_second();
    println!(
        "{connections:>11}  {answer:<8}  {:>9}  {:>7}  {latency:>5.2}  {:>8.0}  {:>6.0}  \
         {throughput:>5.2}",
        direct.median_micros(),
        node.median_micros(),
        direct.per_second(),
        node.per_second(),
    );
}

/// Finds a free port, since the engine does not expose the port that it listens on.
fn free_address() -> Result<SocketAddr, String> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    std::net::TcpListener::bind(any_port).and_then(|socket| socket.local_addr()).map_err(text)
}

fn text(error: impl Display) -> String {
    error.to_string()
}

fn id<T: FromStr>(text: &str) -> T {
    let Ok(id) = text.parse() else { panic!("the id {text:?} is valid") };
    id
}
