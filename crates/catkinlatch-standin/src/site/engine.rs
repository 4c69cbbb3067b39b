//! A model engine.

use super::Target;
use bytes::Bytes;
use catkinlatch_runtime::http::{Body, Server, collect, full, serve};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Channel};
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::Ipv4Addr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch, time};

/// The only model.
pub const MODEL: &str = "model";

/// How many events an item has unless a test says otherwise.
const EVENTS: u64 = 5;

/// How long an event takes unless a test says otherwise.
const EVENT: Duration = Duration::from_millis(15);

/// How long a load takes.
const LOAD: Duration = Duration::from_millis(60);

/// What an engine knows.
#[derive(Debug)]
pub struct Memory {
    /// The version of the weights.
    pub version: u64,
    /// How many orders were accepted.
    pub accepted: u64,
    /// The highest fencing number.
    pub fence: u64,
    /// Who gave orders under each fencing number.
    pub holders: BTreeMap<u64, BTreeSet<String>>,
    /// Whether it loads.
    pub is_busy: bool,
    /// From which event on each item was run, by its id.
    pub runs: BTreeMap<String, Vec<u64>>,
    /// How many runs break off after two events.
    pub runs_to_break: u32,
    /// How many events were made.
    pub sent_events: u64,
    /// How many runs ended since nobody took their events.
    pub abandoned_runs: u64,
    /// How many events an item has.
    pub events: u64,
    /// How long an event takes.
    pub event: Duration,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            version: 1,
            accepted: 0,
            fence: 0,
            holders: BTreeMap::new(),
            is_busy: false,
            runs: BTreeMap::new(),
            runs_to_break: 0,
            sent_events: 0,
            abandoned_runs: 0,
            events: EVENTS,
            event: EVENT,
        }
    }
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What it announces.
    pub target: Target,
    memory: Arc<Mutex<Memory>>,
    _stop: watch::Sender<bool>,
}

impl Engine {
    /// Starts the engine with version 1 and announces it.
    pub async fn start(id: &str, service: &'static str, controls: Vec<String>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let target = Target::new(id, service, listener.local_addr()?, 4);
        let (keep, stop) = watch::channel(false);
        let memory = Arc::new(Mutex::new(Memory::default()));
        let engine = Self { target: target.clone(), memory, _stop: keep };
        let (answering, announced) = (engine.clone(), engine.clone());
        let server = Server { idle_timeout: Duration::from_secs(10), stop };
        let handler = move |request| answering.clone().answer(request);
        tokio::spawn(serve(server, listener, handler));
        tokio::spawn(target.announce(controls, move || announced.memory().models()));
        Ok(engine)
    }

    /// Locks what the engine knows.
    pub fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("attempt-id").unwrap_or_default().to_owned();
        if text("expect-instance").is_some_and(|expected| expected != self.target.id) {
            return respond(StatusCode::MISDIRECTED_REQUEST, "");
        }
        let Ok(body) = collect(body, 1 << 20).await else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        match head.uri.path() {
            "/report" => respond(StatusCode::OK, &self.memory().report().to_string()),
            "/order" => self.order(&body),
            _ => {
                let last = text("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
                self.generate(id, last)
            }
        }
    }

    fn order(&self, body: &[u8]) -> Response<Body> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let number = |name: &str| order[name].as_u64();
        let mut memory = self.memory();
        let fence = number("fence").unwrap_or_default();
        if fence < memory.fence {
            return respond(StatusCode::PRECONDITION_FAILED, "");
        }
        memory.fence = fence;
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        memory.holders.entry(fence).or_default().insert(holder);
        if memory.is_busy || number("expected").is_some_and(|expected| expected != memory.accepted)
        {
            return respond(StatusCode::CONFLICT, "");
        }
        memory.accepted += 1;
        memory.is_busy = true;
        let (engine, version) = (self.clone(), number("version").unwrap_or_default());
        tokio::spawn(async move {
            time::sleep(LOAD).await;
            let mut memory = engine.memory();
            memory.is_busy = false;
            memory.version = version;
        });
        respond(StatusCode::ACCEPTED, "")
    }

    fn generate(self, id: String, last: u64) -> Response<Body> {
        let (version, breaks, events, pace) = {
            let mut memory = self.memory();
            memory.runs.entry(id.clone()).or_default().push(last);
            let breaks = memory.runs_to_break > 0;
            memory.runs_to_break = memory.runs_to_break.saturating_sub(1);
            (memory.version, breaks, memory.events, memory.event)
        };
        let (mut sender, body) = Channel::<Bytes, io::Error>::new(4);
        let item = id.clone();
        tokio::spawn(async move {
            for event in last + 1..=events {
                time::sleep(pace).await;
                let text = format!("id: {event}\ndata: {item} event {event}\n\n");
                if breaks && event == last + 3 {
                    sender.abort(io::Error::other("the engine breaks off"));
                    return;
                }
                if sender.send_data(Bytes::from(text)).await.is_err() {
                    self.memory().abandoned_runs += 1;
                    return;
                }
                self.memory().sent_events += 1;
            }
            if breaks {
                // What was sent before is lost with the connection unless it has left by then.
                time::sleep(pace).await;
                sender.abort(io::Error::other("the engine breaks off at the end"));
            }
        });
        let mut response = Response::builder();
        if last < events {
            // Who only asks whether there is more learns no version, since none makes anything.
            response = response.header("weight-versions", version);
        }
        response
            .header("attempt-id", id.as_str())
            .header("server-seal", format!("seal-of-{id}"))
            .header("content-type", "text/event-stream")
            .body(body.map_err(Into::into).boxed_unsync())
            .expect("the answer is valid")
    }
}

impl Memory {
    fn models(&self) -> Value {
        json!([{"name": MODEL, "version": self.version, "adapters": []}])
    }

    fn report(&self) -> Value {
        json!({"stage": "both", "models": self.models(), "busy": self.is_busy, "seq": self.accepted})
    }
}

fn respond(status: StatusCode, body: &str) -> Response<Body> {
    Response::builder().status(status).body(full(body.to_owned())).expect("the answer is valid")
}
