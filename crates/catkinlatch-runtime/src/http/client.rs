//! The side that asks, over connections that are kept for the next request.

use super::{Body, BodyError, collect};
use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt as _;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header,
};
use hyper_util::rt::TokioIo;
use log::debug;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{self, Instant},
};

/// How long a connection may take to open; a live target's opens within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an idle connection is kept if the other side names no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// How long an idle connection is kept at most.
const LONGEST_IDLE: Duration = Duration::from_secs(30);

/// The share of the time that the other side names for which an idle connection is used.
const IDLE_SHARE: f64 = 0.75;

/// The most idle connections to one address.
const MOST_IDLE: usize = 16;

/// Says why there is no answer.
#[derive(Clone, Debug, Display)]
pub enum Failure {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have been carried out.
    #[display("sent, but not answered: {_0}")]
    Unknown(String),
}

/// Sends requests over connections that it keeps.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<String, Vec<Idle>>>>,
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// An open connection; it closes when this is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An answer whose body is still to be read; dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    /// The head of the answer, and its body.
    pub response: Response<Incoming>,
    connection: Connection,
    address: String,
    client: Client,
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request, over a kept connection if there is one.
    ///
    /// Dropping the future closes the connection, so that the other side may stop its work.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been carried out.
    pub async fn send(&self, address: &str, request: Request<Body>) -> Result<Exchange, Failure> {
        let mut connection = match self.take(address) {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        let sent = connection.sender.send_request(request).await;
        let response = sent.map_err(|error| Failure::Unknown(error.to_string()))?;
        Ok(Exchange { response, connection, address: address.to_owned(), client: self.clone() })
    }

    /// Sends a request and reads the whole answer, or returns nothing where that does not succeed
    /// within the time.
    pub async fn ask(
        &self,
        address: &str,
        request: Request<Body>,
        limit: Duration,
        most_bytes: usize,
    ) -> Option<Response<Bytes>> {
        let answer = async {
            let exchange = self.send(address, request).await.ok()?;
            exchange.whole(most_bytes).await.ok()
        };
        time::timeout(limit, answer).await.ok().flatten()
    }

    /// Sends a request over a new connection.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been carried out.
    pub async fn send_new(
        &self,
        address: &str,
        request: Request<Body>,
    ) -> Result<Exchange, Failure> {
        self.forget(address);
        self.send(address, request).await
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: &str) {
        self.lock().remove(address);
    }

    /// Closes all connections that have been idle for too long.
    pub fn prune(&self) {
        let now = Instant::now();
        self.lock().retain(|_, list| {
            list.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }

    fn take(&self, address: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut lock = self.lock();
        let list = lock.get_mut(address)?;
        while let Some(idle) = list.pop() {
            if now < idle.until && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn keep(&self, address: String, connection: Connection, idle: Duration) {
        let mut lock = self.lock();
        let list = lock.entry(address).or_default();
        if list.len() < MOST_IDLE {
            list.push(Idle { connection, until: Instant::now() + idle });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Exchange {
    /// Reads the whole body, and keeps the connection if it can carry another request.
    ///
    /// # Errors
    ///
    /// Returns why the body is not whole.
    pub async fn whole(self, limit: usize) -> Result<Response<Bytes>, BodyError> {
        let Self { response, connection, address, client } = self;
        let (head, body) = response.into_parts();
        let bytes = collect(body, limit).await?;
        if let Some(idle) = idle_time(&head) {
            client.keep(address, connection, idle);
        }
        Ok(Response::from_parts(head, bytes))
    }

    /// Returns the next part of the body, or nothing at its end.
    ///
    /// # Errors
    ///
    /// Returns what broke the body off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.response.body_mut().frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(BodyError::Broken(error.to_string())),
            }
        }
    }

    /// Keeps the connection after its body was read to the end.
    pub fn keep(self) {
        let Self { response, connection, address, client } = self;
        let (head, _) = response.into_parts();
        if let Some(idle) = idle_time(&head) {
            client.keep(address, connection, idle);
        }
    }
}

async fn connect(address: &str) -> Result<Connection, Failure> {
    let opening = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = match opening.await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
        Err(_) => return Err(Failure::NotSent("no connection in time".to_owned())),
    };
    let _ = socket.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|error| Failure::NotSent(error.to_string()))?;
    let address = address.to_owned();
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("http: a connection to {address} ended: {error}");
        }
    });
    Ok(Connection { sender, driver })
}

/// Returns for how long the connection may be kept after this answer, if at all.
fn idle_time(head: &hyper::http::response::Parts) -> Option<Duration> {
    let values = head.headers.get_all(header::CONNECTION).iter();
    let closes = values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")));
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    if closes || !has_length || head.version != hyper::Version::HTTP_11 {
        return None;
    }
    let keep_alive = head.headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = keep_alive.and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    let idle = timeout
        .map_or(DEFAULT_IDLE, |seconds: u64| Duration::from_secs(seconds).mul_f64(IDLE_SHARE));
    Some(idle.min(LONGEST_IDLE))
}
