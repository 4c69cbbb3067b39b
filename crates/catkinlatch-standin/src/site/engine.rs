//! A stand-in model engine of a site.

use super::{CRASHING_BODY, Cold, Lifecycle, Target, service::FLOODED, target::FIRST_BUILD};
use bytes::Bytes;
use catkinlatch_runtime::http::{Body, collect, full, serve};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Channel};
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::Ipv4Addr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};
use tokio::{net::TcpListener, time};

/// The name of the only model.
pub const MODEL: &str = "model";

/// Number of events per item, unless a test sets [`State::events`].
const DEFAULT_EVENTS: u64 = 5;

/// Time per event, unless a test sets [`State::event_time`].
const DEFAULT_EVENT_TIME: Duration = Duration::from_millis(15);

/// How long the engine takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(60);

/// The state of an engine, which tests read and change.
#[derive(Debug)]
pub struct State {
    /// The version of the loaded weights.
    pub version: u64,
    /// Number of weight orders that the engine accepted.
    pub accepted: u64,
    /// The highest fencing token of any weight order.
    pub fence: u64,
    /// The holders that sent weight orders, by fencing token.
    pub holders: BTreeMap<u64, BTreeSet<String>>,
    /// Whether a load is in progress.
    pub is_busy: bool,
    /// The last event id with which each run of an item started (0 for a run from the beginning),
    /// by item.
    pub runs: BTreeMap<String, Vec<u64>>,
    /// The headers of the last run of each item.
    pub headers: BTreeMap<String, HeaderMap>,
    /// Number of coming runs whose connection breaks after two events, or at the end if no more
    /// remain.
    pub runs_to_break: u32,
    /// Number of events sent.
    pub sent_events: u64,
    /// Number of runs that ended because the client had closed the connection.
    pub abandoned_runs: u64,
    /// Number of events per item.
    pub events: u64,
    /// Time per event.
    pub event_time: Duration,
    /// The status that a run of an item or a stream is answered with in place of events.
    pub statuses: BTreeMap<String, StatusCode>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            version: 1,
            accepted: 0,
            fence: 0,
            holders: BTreeMap::new(),
            is_busy: false,
            runs: BTreeMap::new(),
            headers: BTreeMap::new(),
            runs_to_break: 0,
            sent_events: 0,
            abandoned_runs: 0,
            events: DEFAULT_EVENTS,
            event_time: DEFAULT_EVENT_TIME,
            statuses: BTreeMap::new(),
        }
    }
}

/// A running stand-in engine.
///
/// A request whose body begins with [`CRASHING_BODY`] crashes it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What the engine announces about itself.
    pub target: Target,
    state: Arc<Mutex<State>>,
    lifecycle: Lifecycle,
}

impl Engine {
    /// Starts an engine with version 1 of the weights and announces it to `controls`, the
    /// addresses of the control hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start(id: &str, service: &'static str, controls: Vec<String>) -> io::Result<Self> {
        Self::start_in("zone-0", id, service, controls).await
    }

    /// Starts the engine in a zone and announces it to `controls`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_in(
        zone: &'static str,
        id: &str,
        service: &'static str,
        controls: Vec<String>,
    ) -> io::Result<Self> {
        Self::start_as(zone, id, service, controls, Duration::ZERO).await
    }

    /// Like [`Self::start`], but the engine is cold for a time after each start.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_cold(
        id: &str,
        service: &'static str,
        controls: Vec<String>,
        cold: Duration,
    ) -> io::Result<Self> {
        Self::start_as("zone-0", id, service, controls, cold).await
    }

    /// Like [`Self::start_in`], but the engine runs another build of its software, which the data of its
    /// events names.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_build(
        zone: &'static str,
        id: &str,
        service: &'static str,
        controls: Vec<String>,
        build: &str,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let target = Target::new(id, service, listener.local_addr()?, 4);
        let target = target.with_zone(zone).with_build(build);
        Ok(Self::launch(target, listener, controls))
    }

    /// Starts the engine in a zone, cold for a time after each start.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_as(
        zone: &'static str,
        id: &str,
        service: &'static str,
        controls: Vec<String>,
        cold: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let mut target = Target::new(id, service, listener.local_addr()?, 4).with_zone(zone);
        target.cold = Cold::new(cold);
        Ok(Self::launch(target, listener, controls))
    }

    fn launch(target: Target, listener: TcpListener, controls: Vec<String>) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let engine = Self { target, state, lifecycle: Lifecycle::new(controls) };
        engine.run(listener);
        engine
    }

    /// Serves and announces a start of the engine.
    fn run(&self, listener: TcpListener) {
        let (serving, announced, lifecycle) = (self.clone(), self.clone(), &self.lifecycle);
        let handler = move |request| serving.clone().handle(request);
        let models = move || announced.state().models();
        let announcing = self.target.clone().announce(lifecycle.controls.clone(), models);
        lifecycle.run(&self.target, serve(lifecycle.server(), listener, handler), announcing);
    }

    /// Returns the current start; `None` while the target is down.
    pub fn current(&self) -> Option<Target> {
        self.lifecycle.current()
    }

    /// Returns the bodies of the requests under which a start of the engine crashed.
    pub fn crashes(&self) -> Vec<String> {
        self.lifecycle.crashes()
    }

    /// Locks the engine's state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many runs of items and streams there were in all.
    pub fn total_runs(&self) -> usize {
        self.state().runs.values().map(Vec::len).sum()
    }

    /// Ends the engine for good, at once.
    pub fn end(&self) {
        self.lifecycle.end();
    }

    /// Ends the current start at once; the next one is another target at the same address.
    pub fn restart(&self) {
        self.crash(b"");
    }

    fn crash(&self, body: &[u8]) {
        let mut next = self.clone();
        self.lifecycle.crash(body, self.target.clone(), move |target, listener| {
            next.target = target;
            let mut state = next.state();
            (state.accepted, state.fence, state.is_busy) = (0, 0, false);
            drop(state);
            next.run(listener);
        });
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let target = self.target.clone();
        target.finish(self.answer(request).await)
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("attempt-id").unwrap_or_default().to_owned();
        if text("expect-instance").is_some_and(|expected| expected != self.target.id) {
            return respond(StatusCode::MISDIRECTED_REQUEST, "");
        }
        self.target.limit.arrive();
        if self.target.cold.arrive() {
            self.crash(FLOODED);
            std::future::pending::<()>().await;
        }
        let Ok(body) = collect(body, 1 << 20).await else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        match head.uri.path() {
            "/report" => respond(StatusCode::OK, &self.state().report().to_string()),
            "/order" => self.order(&body),
            _ if body.starts_with(CRASHING_BODY.as_bytes()) => {
                self.crash(&body);
                std::future::pending().await
            }
            _ if self.target.is_silent.load(Ordering::Relaxed) => std::future::pending().await,
            _ => {
                let last = text("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
                self.state().headers.insert(id.clone(), head.headers.clone());
                self.generate(id, last)
            }
        }
    }

    fn order(&self, body: &[u8]) -> Response<Body> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let number = |name: &str| order[name].as_u64();
        let mut state = self.state();
        let fence = number("fence").unwrap_or_default();
        if fence < state.fence {
            return respond(StatusCode::PRECONDITION_FAILED, "");
        }
        state.fence = fence;
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        state.holders.entry(fence).or_default().insert(holder);
        if state.is_busy || number("expected").is_some_and(|expected| expected != state.accepted) {
            return respond(StatusCode::CONFLICT, "");
        }
        state.accepted += 1;
        state.is_busy = true;
        let (engine, version) = (self.clone(), number("version").unwrap_or_default());
        tokio::spawn(async move {
            time::sleep(LOAD_TIME).await;
            let mut state = engine.state();
            state.is_busy = false;
            state.version = version;
        });
        respond(StatusCode::ACCEPTED, "")
    }

    fn generate(self, id: String, last: u64) -> Response<Body> {
        let (version, breaks, events) = {
            let mut state = self.state();
            state.runs.entry(id.clone()).or_default().push(last);
            let breaks = state.runs_to_break > 0;
            state.runs_to_break = state.runs_to_break.saturating_sub(1);
            if let Some(status) = state.statuses.get(&id) {
                let response = Response::builder().status(*status).header("attempt-id", &id);
                return response.body(full("")).expect("the response is valid");
            }
            (state.version, breaks, state.events)
        };
        let (mut sender, body) = Channel::<Bytes, io::Error>::new(4);
        let item = id.clone();
        let build = self.target.build.clone();
        tokio::spawn(async move {
            for event in last + 1..=events {
                let event_time = self.state().event_time;
                time::sleep(event_time).await;
                let data = event_data(&item, event, &build);
                let text = format!("id: {event}\ndata: {data}\n\n");
                if breaks && event == last + 3 {
                    sender.abort(io::Error::other("the stand-in engine broke the connection"));
                    return;
                }
                if sender.send_data(Bytes::from(text)).await.is_err() {
                    self.state().abandoned_runs += 1;
                    return;
                }
                self.state().sent_events += 1;
            }
            if breaks {
                // Gives the events time to be transmitted; an abort discards what is still
                // buffered.
                let event_time = self.state().event_time;
                time::sleep(event_time).await;
                sender.abort(io::Error::other(
                    "the stand-in engine broke the connection after the last event",
                ));
            }
        });
        let mut response = Response::builder();
        if last < events {
            // A run that resumes after the last event generates nothing, so it reports no version.
            response = response.header("weight-versions", version);
        }
        response
            .header("attempt-id", id.as_str())
            .header("server-seal", format!("seal-of-{id}"))
            .header("content-type", "text/event-stream")
            .body(body.map_err(Into::into).boxed_unsync())
            .expect("the response is valid")
    }
}

/// Returns the data of an event of an item or a stream, which names any build but the first one.
pub fn event_data(id: &str, event: u64, build: &str) -> String {
    let by = if build == FIRST_BUILD { String::new() } else { format!(" by {build}") };
    format!("{id} event {event}{by}")
}

impl State {
    fn models(&self) -> Value {
        json!([{"name": MODEL, "version": self.version, "adapters": []}])
    }

    fn report(&self) -> Value {
        json!({"stage": "both", "models": self.models(), "busy": self.is_busy, "seq": self.accepted})
    }
}

fn respond(status: StatusCode, body: &str) -> Response<Body> {
    Response::builder().status(status).body(full(body.to_owned())).expect("the response is valid")
}
