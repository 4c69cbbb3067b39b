//! HTTP client with a pool of idle connections.

use super::{
    Body, Exchange, Limits,
    memory::Budget,
    meter::{MAX_HEAD_BYTES, Meter, Metered},
};
use bytes::Bytes;
use derive_more::Display;
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use log::{debug, warn};
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
    /// The server sent bytes that are no response, or a head beyond its limits, so that the request
    /// may have been executed; the text is the cause.
    #[display("no valid response: {_0}")]
    Malformed(String),
}

/// HTTP client that reuses connections; clones share the pool of idle connections and the limit on
/// the memory of responses.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<HashMap<String, Vec<Idle>>>>,
    resets_on_close: bool,
    limits: Limits,
    budget: Budget,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// An idle connection, which may be reused until its deadline.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// An open connection, closed on drop.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Body>,
    driver: JoinHandle<()>,
    pub(super) meter: Meter,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    /// Creates a client without idle connections, with the limits of a host with ample memory.
    pub fn new() -> Self {
        let limits = Limits::default();
        let budget = Budget::new(limits.in_flight);
        Self { idle: Arc::default(), resets_on_close: false, limits, budget }
    }

    /// Sets the limits on responses.
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, budget: Budget::new(limits.in_flight), ..self }
    }

    /// Returns the limits on responses.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the memory that all responses in flight share.
    pub fn budget(&self) -> &Budget {
        &self.budget
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
        connection.meter.begin();
        match connection.sender.send_request(request).await {
            Ok(response) => Ok(Exchange::new(response, connection, address, self)),
            Err(error) => {
                let is_excess = connection.meter.is_exceeded() || error.is_parse_too_large();
                if is_excess {
                    record_end(address, "head");
                    return Err(Failure::Malformed("the head exceeds its limit".to_owned()));
                }
                let failure = if error.is_parse() { Failure::Malformed } else { Failure::Unknown };
                Err(failure(error.to_string()))
            }
        }
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
    pub(super) fn keep(&self, address: String, connection: Connection, idle: Duration) {
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
    let meter = Meter::default();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(Metered::new(socket, meter.clone())))
        .await
        .map_err(|error| Failure::NotSent(error.to_string()))?;
    let address = address.to_owned();
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("http: a connection to {address} ended: {error}");
        }
    });
    Ok(Connection { sender, driver, meter })
}

/// Records that a response from `address` was ended because it exceeded the limit on `what`.
pub fn record_end(address: &str, what: &'static str) {
    metrics::counter!("catkinlatch_http_responses_ended", "limit" => what).increment(1);
    warn!(address = address, limit = what; "http: ended a response beyond a limit");
}
