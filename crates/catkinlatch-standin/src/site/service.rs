//! A stand-in plain service of a site.

use super::{CRASHING_BODY, Cold, Lifecycle, SILENCING_BODY, Target, target::Lost};
use catkinlatch_runtime::http::{Body, collect, full, serve, streamed};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use std::{
    collections::BTreeMap,
    io,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, time};

/// How long the service takes to run a request.
const RUN_TIME: Duration = Duration::from_millis(5);

/// Largest body of a request that the service runs, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Recorded as the body under which a cold start crashed that got too many requests.
pub const FLOODED: &[u8] = b"too many requests while cold";

/// The key under which a request's path is recorded among its headers.
const PATH_KEY: &str = ":path";

/// The headers of a request by name, with the path under the key `:path`.
pub type Headers = BTreeMap<String, String>;

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The start of the target.
    pub target: String,
    /// When the request's head arrived.
    pub at: Instant,
    /// The time that the request was given, in milliseconds; `None` if none was given.
    pub deadline_ms: Option<u64>,
    /// Whether the target refused it as full.
    pub is_refused: bool,
}

/// Counts a request as abandoned if it is dropped before it has run.
struct Run {
    abandoned: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    has_ended: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.abandoned.fetch_add(u32::from(!self.has_ended), Ordering::Relaxed);
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What is wrong with an answer of the service, which has run the request.
#[derive(Clone, Copy, Debug)]
pub enum Flaw {
    /// It bears the id of another request.
    OfAnotherRequest,
    /// It is a success without a signature.
    Unsigned,
    /// The connection ends before the announced length.
    CutShort,
    /// It has neither id nor signature, under a status that means nothing.
    Anonymous,
    /// It is the service's own failure.
    Failure,
}

/// A running stand-in service.
///
/// A request whose body begins with [`CRASHING_BODY`] crashes it.
#[derive(Clone, Debug)]
pub struct Service {
    /// What the service announces about itself.
    pub target: Target,
    /// How long the service takes to run a request.
    pub run_time: Arc<Mutex<Duration>>,
    /// The headers of each run of a request, by the request's id.
    pub headers_of_runs: Arc<Mutex<BTreeMap<String, Vec<Headers>>>>,
    /// The requests that reached the service and were meant for it, by the request's id.
    pub arrivals: Arc<Mutex<BTreeMap<String, Vec<Arrival>>>>,
    /// Number of coming requests that are run, but whose response is then lost.
    pub answers_to_lose: Arc<AtomicU32>,
    /// Number of requests whose caller left before they had run.
    pub abandoned: Arc<AtomicU32>,
    /// The flaw of coming answers, and how many of them have it.
    spoiled: Arc<Mutex<Option<(Flaw, u32)>>>,
    /// Whether the service refuses all requests because it is full.
    pub is_full: Arc<AtomicBool>,
    /// Number of requests that the service runs at once; it refuses others because it is full.
    pub room: Arc<AtomicU32>,
    /// Number of requests that run.
    running: Arc<AtomicU32>,
    /// Number of requests that the service refused because it was full.
    pub refusals: Arc<AtomicU32>,
    lifecycle: Lifecycle,
}

impl Service {
    /// Starts the service and announces it to `controls`, the addresses of the control hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start(id: &str, name: &'static str, controls: Vec<String>) -> io::Result<Self> {
        Self::start_in("zone-0", id, name, controls).await
    }

    /// Starts the service like [`Service::start`], with this number of slots.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_with_slots(
        id: &str,
        name: &'static str,
        controls: Vec<String>,
        slots: u32,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let target = Target::new(id, name, listener.local_addr()?, slots);
        Ok(Self::launch(target, listener, controls))
    }

    /// Starts the service in a zone and announces it to `controls`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_in(
        zone: &'static str,
        id: &str,
        name: &'static str,
        controls: Vec<String>,
    ) -> io::Result<Self> {
        Self::start_as(zone, id, name, controls, Duration::ZERO).await
    }

    /// Like [`Self::start`], but the service is cold for a time after each start.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_cold(
        id: &str,
        name: &'static str,
        controls: Vec<String>,
        cold: Duration,
    ) -> io::Result<Self> {
        Self::start_as("zone-0", id, name, controls, cold).await
    }

    /// Starts the service in a zone, cold for a time after each start.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start_as(
        zone: &'static str,
        id: &str,
        name: &'static str,
        controls: Vec<String>,
        cold: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let mut target = Target::new(id, name, listener.local_addr()?, 6).with_zone(zone);
        target.cold = Cold::new(cold);
        Ok(Self::launch(target, listener, controls))
    }

    fn launch(target: Target, listener: TcpListener, controls: Vec<String>) -> Self {
        let service = Self {
            target,
            run_time: Arc::new(Mutex::new(RUN_TIME)),
            headers_of_runs: Arc::default(),
            arrivals: Arc::default(),
            answers_to_lose: Arc::default(),
            abandoned: Arc::default(),
            spoiled: Arc::default(),
            is_full: Arc::default(),
            room: Arc::new(AtomicU32::new(u32::MAX)),
            running: Arc::default(),
            refusals: Arc::default(),
            lifecycle: Lifecycle::new(controls),
        };
        service.run(listener);
        service
    }

    /// Serves and announces a start of the target.
    fn run(&self, listener: TcpListener) {
        let (service, lifecycle) = (self.clone(), &self.lifecycle);
        let handler = move |request| service.clone().handle(request);
        let announcing = self.target.clone().announce(lifecycle.controls.clone(), || json!([]));
        lifecycle.run(&self.target, serve(lifecycle.server(), listener, handler), announcing);
    }

    fn crash(&self, body: &[u8]) {
        let mut next = self.clone();
        self.lifecycle.crash(body, self.target.clone(), move |target, listener| {
            next.target = target;
            next.run(listener);
        });
    }

    /// Ends the current start at once; the next one is another target at the same address.
    pub fn restart(&self) {
        self.crash(b"");
    }

    /// Spoils the next `count` answers.
    pub fn spoil(&self, flaw: Flaw, count: u32) {
        *lock(&self.spoiled) = Some((flaw, count));
    }

    fn take_flaw(&self) -> Option<Flaw> {
        let mut spoiled = lock(&self.spoiled);
        let (flaw, left) = spoiled.as_mut().filter(|(_, left)| *left > 0)?;
        *left -= 1;
        Some(*flaw)
    }

    /// Returns the current start; `None` while the target is down.
    pub fn current(&self) -> Option<Target> {
        self.lifecycle.current()
    }

    /// Returns the bodies of the requests under which a start of the target crashed.
    pub fn crashes(&self) -> Vec<String> {
        self.lifecycle.crashes()
    }

    /// Returns the ids of all requests that the service ran.
    pub fn request_ids(&self) -> Vec<String> {
        self.headers_of_runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .keys()
            .cloned()
            .collect()
    }

    /// Returns whether the service ran a request, and the first run had this path.
    pub fn ran_at_path(&self, id: &str, path: &str) -> bool {
        let headers_of_runs = lock(&self.headers_of_runs);
        let headers = headers_of_runs.get(id).and_then(|runs| runs.first());
        headers.and_then(|headers| headers.get(PATH_KEY)).is_some_and(|first| first == path)
    }

    /// Returns how many times a request ran.
    pub fn runs(&self, id: &str) -> usize {
        let headers_of_runs = lock(&self.headers_of_runs);
        headers_of_runs.get(id).map_or(0, Vec::len)
    }

    /// Returns how many requests ran in all.
    pub fn total_runs(&self) -> usize {
        lock(&self.headers_of_runs).values().map(Vec::len).sum()
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let target = self.target.clone();
        target.finish(self.answer(request).await)
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let mut headers: BTreeMap<String, String> = head
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
            .collect();
        headers.insert(PATH_KEY.to_owned(), head.uri.path().to_owned());
        let id = headers.get("attempt-id").cloned().unwrap_or_default();
        if headers.get("expect-instance").is_some_and(|expected| *expected != self.target.id) {
            return respond(StatusCode::MISDIRECTED_REQUEST, &id, "");
        }
        self.target.limit.arrive();
        if self.target.cold.arrive() {
            self.crash(FLOODED);
            std::future::pending::<()>().await;
        }
        let room = self.room.load(Ordering::Relaxed);
        let is_running = self.running.load(Ordering::Relaxed) >= room;
        let is_refused = is_running || self.is_full.load(Ordering::Relaxed);
        let deadline_ms = headers.get("deadline-ms").and_then(|text| text.parse().ok());
        let (target, at) = (self.target.id.clone(), Instant::now());
        let arrival = Arrival { target, at, deadline_ms, is_refused };
        lock(&self.arrivals).entry(id.clone()).or_default().push(arrival);
        if is_refused {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            return respond(StatusCode::SERVICE_UNAVAILABLE, &id, "");
        }
        let Ok(body) = collect(body, MAX_BODY_BYTES).await else {
            return respond(StatusCode::BAD_REQUEST, &id, "");
        };
        if body.starts_with(SILENCING_BODY.as_bytes()) {
            let mut next = self.clone();
            self.lifecycle.fall_silent(&body, self.target.clone(), move |target, listener| {
                next.target = target;
                next.run(listener);
            });
        }
        if self.target.is_silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if body.starts_with(CRASHING_BODY.as_bytes()) {
            self.crash(&body);
            std::future::pending::<()>().await;
        }
        let run_time = *lock(&self.run_time);
        self.running.fetch_add(1, Ordering::Relaxed);
        let (abandoned, running) = (self.abandoned.clone(), self.running.clone());
        let mut run = Run { abandoned, running, has_ended: false };
        time::sleep(run_time).await;
        run.has_ended = true;
        let mut headers_of_runs = lock(&self.headers_of_runs);
        headers_of_runs.entry(id.clone()).or_default().push(headers);
        drop(headers_of_runs);
        let decrement = |left: u32| left.checked_sub(1);
        if self
            .answers_to_lose
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
        {
            return broken(&id);
        }
        let text = format!("answer to {id}");
        match self.take_flaw() {
            None => respond(StatusCode::OK, &id, &text),
            Some(flaw) => spoiled(flaw, &id, &text),
        }
    }
}

/// Returns an answer with a flaw.
fn spoiled(flaw: Flaw, id: &str, text: &str) -> Response<Body> {
    match flaw {
        Flaw::OfAnotherRequest => respond(StatusCode::OK, "another", "answer to another"),
        Flaw::Unsigned => {
            let response = Response::builder().header("attempt-id", id);
            response.body(full(text.to_owned())).expect("the response is valid")
        }
        Flaw::CutShort => broken(id),
        Flaw::Anonymous => {
            let response = Response::builder().status(299);
            response.body(full("noise")).expect("the response is valid")
        }
        Flaw::Failure => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            let response = Response::builder().status(status).header("attempt-id", id);
            response.body(full("failed")).expect("the response is valid")
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a response whose connection breaks before any of the body is sent.
fn broken(id: &str) -> Response<Body> {
    let body = streamed((), |()| async {
        Some((Err(io::Error::other("the stand-in service lost its answer")), ()))
    });
    Response::builder()
        .header("attempt-id", id)
        .header("server-seal", format!("seal-of-{id}"))
        .extension(Lost)
        .body(body)
        .expect("the response is valid")
}

fn respond(status: StatusCode, id: &str, body: &str) -> Response<Body> {
    let response = Response::builder().status(status).header("attempt-id", id);
    let response = match status.is_success() {
        true => response.header("server-seal", format!("seal-of-{id}")),
        false => response.header("not-executed", "1"),
    };
    response.body(full(body.to_owned())).expect("the response is valid")
}
