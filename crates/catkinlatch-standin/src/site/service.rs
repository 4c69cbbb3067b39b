//! A plain service.

use super::Target;
use catkinlatch_runtime::http::{Body, Server, collect, full, serve, streamed};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::{
    collections::BTreeMap,
    io,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch, time};

/// How long the service works on a request.
const WORK: Duration = Duration::from_millis(5);

/// The name under which a request's path is kept beside its headers.
const PATH: &str = ":path";

/// The headers of a request and its path, by name.
pub type Headers = BTreeMap<String, String>;

/// A plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// What it announces.
    pub target: Target,
    /// The headers of each request that it ran, by id.
    pub ran: Arc<Mutex<BTreeMap<String, Vec<Headers>>>>,
    /// How many answers are lost after their requests ran.
    pub loses: Arc<AtomicU32>,
    _stop: watch::Sender<bool>,
}

impl Service {
    /// Starts the service and announces it.
    pub async fn start(id: &str, name: &'static str, controls: Vec<String>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let target = Target::new(id, name, listener.local_addr()?, 6);
        let (keep, stop) = watch::channel(false);
        let service = Self {
            target: target.clone(),
            ran: Arc::default(),
            loses: Arc::default(),
            _stop: keep,
        };
        let answering = service.clone();
        let server = Server { idle_timeout: Duration::from_secs(10), stop };
        let handler = move |request| answering.clone().answer(request);
        tokio::spawn(serve(server, listener, handler));
        tokio::spawn(target.announce(controls, || serde_json::json!([])));
        Ok(service)
    }

    /// Returns the ids of all requests that it ran.
    pub fn ids(&self) -> Vec<String> {
        self.ran.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }

    /// Returns whether a request ran that came at this path.
    pub fn is_at(&self, id: &str, path: &str) -> bool {
        let ran = self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        let headers = ran.get(id).and_then(|runs| runs.first());
        headers.and_then(|headers| headers.get(PATH)).is_some_and(|held| held == path)
    }

    /// Returns how often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        let ran = self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        ran.get(id).map_or(0, Vec::len)
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let mut headers: BTreeMap<String, String> = head
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
            .collect();
        headers.insert(PATH.to_owned(), head.uri.path().to_owned());
        let id = headers.get("attempt-id").cloned().unwrap_or_default();
        if headers.get("expect-instance").is_some_and(|expected| *expected != self.target.id) {
            return respond(StatusCode::MISDIRECTED_REQUEST, &id, "");
        }
        if collect(body, 1 << 20).await.is_err() {
            return respond(StatusCode::BAD_REQUEST, &id, "");
        }
        time::sleep(WORK).await;
        let mut ran = self.ran.lock().unwrap_or_else(PoisonError::into_inner);
        ran.entry(id.clone()).or_default().push(headers);
        drop(ran);
        let loses = |left: u32| left.checked_sub(1);
        if self.loses.fetch_update(Ordering::Relaxed, Ordering::Relaxed, loses).is_ok() {
            return broken(&id);
        }
        respond(StatusCode::OK, &id, &format!("answer to {id}"))
    }
}

/// Returns an answer whose connection breaks before its body is there.
fn broken(id: &str) -> Response<Body> {
    let body = streamed((), |()| async { Some((Err(io::Error::other("the answer is lost")), ())) });
    Response::builder()
        .header("attempt-id", id)
        .header("server-seal", format!("seal-of-{id}"))
        .body(body)
        .expect("the answer is valid")
}

fn respond(status: StatusCode, id: &str, body: &str) -> Response<Body> {
    let response = Response::builder().status(status).header("attempt-id", id);
    let response = match status.is_success() {
        true => response.header("server-seal", format!("seal-of-{id}")),
        false => response.header("not-executed", "1"),
    };
    response.body(full(body.to_owned())).expect("the answer is valid")
}
