//! HTTP client with a pool of idle connections.

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

/// Timeout of opening a connection; to a live target this takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which an idle connection is kept if the server announces no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which an idle connection is kept.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Fraction of the server's keep-alive timeout for which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.75;

/// Maximum number of idle connections to an address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Error of a request without a response.
#[derive(Clone, Debug, Display)]
pub enum Failure {
    /// The request was not sent, so that it cannot have been executed; the text is the cause.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have been executed; the text is the cause.
    #[display("sent, but not answered: {_0}")]
    Unknown(String),
}

/// HTTP client that reuses connections; clones share the pool of idle connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<String, Vec<Idle>>>>,
    resets_on_close: bool,
}

/// An idle connection, which may be reused until its deadline.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// An open connection, closed on drop.
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

/// A response whose body has not been read to its end; dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    /// Head of the response, and the rest of its body.
    pub response: Response<Incoming>,
    connection: Connection,
    address: String,
    client: Client,
}

impl Client {
    /// Creates a client without idle connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets connections when they are closed, so that what a cut or slow link has not yet taken
    /// is dropped instead of arriving later.
    pub fn with_reset_on_close(self) -> Self {
        Self { resets_on_close: true, ..self }
    }

    /// Sends a request, over an idle connection if there is one, and waits for the response's head.
    ///
    /// Dropping the future closes the connection, so that the server can cancel its work.
    ///
    /// # Errors
    ///
    /// Returns an error that indicates whether the request may have been executed.
    pub async fn send(&self, address: &str, request: Request<Body>) -> Result<Exchange, Failure> {
        self.send_if(address, request, || true).await
    }

    /// Like [`Self::send`], but sends the request only if it may still be sent once a connection is
    /// open, which can take as long as the lease under which it is sent.
    ///
    /// # Errors
    ///
    /// Returns an error that indicates whether the request may have been executed.
    pub async fn send_if(
        &self,
        address: &str,
        request: Request<Body>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Exchange, Failure> {
        self.send_prepared(address, request, |_| may_send()).await
    }

    /// Like [`Self::send_if`], but `prepare` may also change the request once a connection is open.
    ///
    /// # Errors
    ///
    /// Returns an error that indicates whether the request may have been executed.
    pub async fn send_prepared(
        &self,
        address: &str,
        mut request: Request<Body>,
        prepare: impl FnOnce(&mut Request<Body>) -> bool,
    ) -> Result<Exchange, Failure> {
        let mut connection = match self.take(address) {
            Some(connection) => connection,
            None => connect(address, self.resets_on_close).await?,
        };
        if !prepare(&mut request) {
            return Err(Failure::NotSent("no longer permitted".to_owned()));
        }
        let sent = connection.sender.send_request(request).await;
        let response = sent.map_err(|error| Failure::Unknown(error.to_string()))?;
        Ok(Exchange { response, connection, address: address.to_owned(), client: self.clone() })
    }

    /// Sends a request and reads the complete response.
    ///
    /// Returns `None` if that fails, takes longer than `limit`, or the body exceeds `most_bytes`.
    pub async fn fetch(
        &self,
        address: &str,
        request: Request<Body>,
        limit: Duration,
        most_bytes: usize,
    ) -> Option<Response<Bytes>> {
        let answer = async {
            let exchange = self.send(address, request).await.ok()?;
            exchange.read_body(most_bytes).await.ok()
        };
        time::timeout(limit, answer).await.ok().flatten()
    }

    /// Sends a request over a new connection, after closing all idle connections to the address.
    ///
    /// # Errors
    ///
    /// Returns an error that indicates whether the request may have been executed.
    pub async fn send_new(
        &self,
        address: &str,
        request: Request<Body>,
    ) -> Result<Exchange, Failure> {
        self.forget(address);
        self.send(address, request).await
    }

    /// Closes all idle connections to an address.
    pub fn forget(&self, address: &str) {
        self.lock().remove(address);
    }

    /// Closes idle connections whose timeout has passed or that the server has closed.
    pub fn prune(&self) {
        let now = Instant::now();
        self.lock().retain(|_, list| {
            list.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }

    /// Removes and returns an idle connection that can be reused.
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

    /// Adds an idle connection to the pool for the time `idle`, or closes it if there are too many.
    fn keep(&self, address: String, connection: Connection, idle: Duration) {
        let mut lock = self.lock();
        let list = lock.entry(address).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(Idle { connection, until: Instant::now() + idle });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Exchange {
    /// Reads the complete body of at most `limit` bytes; keeps the connection if it can be reused.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer than `limit` or ends prematurely.
    pub async fn read_body(self, limit: usize) -> Result<Response<Bytes>, BodyError> {
        let Self { response, connection, address, client } = self;
        let (head, body) = response.into_parts();
        let bytes = collect(body, limit).await?;
        if let Some(idle) = idle_time(&head) {
            client.keep(address, connection, idle);
        }
        Ok(Response::from_parts(head, bytes))
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed before the end of the body.
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

    /// Keeps the connection for reuse if possible; the body must have been read to its end.
    pub fn release(self) {
        let Self { response, connection, address, client } = self;
        let (head, _) = response.into_parts();
        if let Some(idle) = idle_time(&head) {
            client.keep(address, connection, idle);
        }
    }
}

async fn connect(address: &str, resets_on_close: bool) -> Result<Connection, Failure> {
    let opening = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = match opening.await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
        Err(_) => return Err(Failure::NotSent("no connection in time".to_owned())),
    };
    let _ = socket.set_nodelay(true);
    if resets_on_close {
        let _ = socket.set_zero_linger();
    }
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

/// Returns the time for which the connection may be kept after this response.
///
/// Returns `None` if the response closes the connection, has neither a content length nor a
/// transfer encoding, or is not HTTP/1.1.
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
    let idle = timeout.map_or(DEFAULT_IDLE_TIMEOUT, |seconds: u64| {
        Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION)
    });
    Some(idle.min(MAX_IDLE_TIMEOUT))
}
