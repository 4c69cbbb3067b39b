//! HTTP client with a pool of idle connections.

use super::{
    Body, Exchange, Limits,
    dialer::{self, Connect, Dialer, Io},
    memory::Budget,
    meter::{MAX_HEAD_BYTES, Meter, Metered, Permission},
    validity::{Framing, is_final},
};
use bytes::Bytes;
use catkinlatch_route::reach::{Helper, Path};
use derive_more::{Debug, Display};
use http::{HeaderName, HeaderValue};
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use log::{debug, warn};
use std::{
    collections::HashMap,
    error::Error as _,
    io,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};

/// How long a relayed connection is used for further requests: the host that relays it may shut
/// down, and finishes only what it relays by then.
const RELAYED_TTL: Duration = Duration::from_secs(2);

/// Maximum number of idle connections to an address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// How long a connection may take that only shows whether it is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a repeatable request is given up early.
pub(super) const CUT_OFF: &str = "this host is cut off from targets";

/// Why a request is not sent over an open connection.
const NOT_PERMITTED: &str = "no longer permitted";

/// Error of a request without a response.
#[derive(Clone, Debug, Display)]
pub enum Failure {
    /// The request was not sent, so that it cannot have been executed; the text is the cause.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have been executed; the text is the cause.
    #[display("sent, but not answered: {_0}")]
    Unknown(String),
    /// The server sent bytes that are no response, a status that ends no exchange, or a head beyond
    /// its limits, so that the request may have been executed; the text is the cause.
    #[display("no valid response: {_0}")]
    Malformed(String),
    /// The path to the server was lost, which shows nothing about the server itself. The request may
    /// have been executed; the text is the cause.
    #[display("the path was lost: {_0}")]
    Lost(String),
}

/// Extension of a request that may be executed more than once.
///
/// The client gives such a request up as soon as this host turns out to be cut off.
#[derive(Clone, Copy, Debug)]
pub struct Repeatable;

/// HTTP client that reuses connections; clones share the pool of idle connections and the limit on
/// the memory of responses.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<HashMap<String, Vec<Idle>>>>,
    #[debug(skip)]
    connect: Connect,
    dialer: Option<Arc<Dialer>>,
    #[debug(skip)]
    permission: Option<Permission>,
    id_header: Option<HeaderName>,
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
    /// The relay, if another host relays the connection.
    relayed: Option<Relayed>,
    /// How often this host had been cut off when the connection was opened.
    cuts: u64,
    /// The id of the last request on the connection.
    last_id: Option<HeaderValue>,
}

/// The host that relays a connection.
#[derive(Debug)]
struct Relayed {
    helper: Helper,
    dialer: Arc<Dialer>,
    until: Instant,
    /// Whether a request on the connection has no answer yet.
    is_waiting: bool,
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if self.is_waiting {
            self.dialer.relay.record_silence(&self.helper);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Returns whether another host relays the connection.
    pub(super) fn is_relayed(&self) -> bool {
        self.relayed.is_some()
    }

    /// Records that a request is sent.
    fn begin(&mut self) {
        if let Some(relayed) = &mut self.relayed {
            relayed.is_waiting = true;
        }
    }

    /// Records that the head of a response has arrived; `dialer` is that of a direct connection.
    fn record_answer(&mut self, address: &str, dialer: Option<&Arc<Dialer>>) {
        if let Some(relayed) = &mut self.relayed {
            relayed.is_waiting = false;
            relayed.dialer.relay.record_success(&relayed.helper);
        }
        if let Some(dialer) = dialer {
            dialer.record_answer(address);
        }
    }

    /// Returns whether an error shows that the host which relays the connection was lost; that host
    /// is then left out for a while.
    pub(super) fn is_lost(&mut self, error: &hyper::Error) -> bool {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let is_lost = source.is_some_and(|e| e.kind() == io::ErrorKind::NetworkUnreachable);
        let Some(relayed) = self.relayed.as_mut().filter(|_| is_lost) else { return false };
        relayed.is_waiting = false;
        relayed.dialer.relay.record_loss(&relayed.helper);
        true
    }
}

impl Client {
    /// Creates a client without idle connections, with the limits of a host with ample memory.
    pub fn new() -> Self {
        let limits = Limits::default();
        let budget = Budget::new(limits.in_flight);
        let (idle, connect) = (Arc::default(), dialer::tcp(false));
        Self { idle, connect, dialer: None, permission: None, id_header: None, limits, budget }
    }

    /// Sets the header with a request's id, which servers repeat in their answers.
    ///
    /// Requests with the same id then never follow each other on a connection: a late copy of the
    /// first answer could not be told from the second one.
    pub fn with_id_header(self, id_header: HeaderName) -> Self {
        Self { id_header: Some(id_header), ..self }
    }

    /// Opens connections with `dialer`, which may have other hosts relay them.
    pub fn with_dialer(self, dialer: Arc<Dialer>) -> Self {
        Self { dialer: Some(dialer), ..self }
    }

    /// Asks `permission` right before each write, and fails the request if nothing may be sent then. A
    /// request that waits for its connection to be written can be delayed by a pause of the process.
    pub fn with_permission(self, permission: Permission) -> Self {
        Self { permission: Some(permission), ..self }
    }

    /// Returns the dialer, if the client has one.
    pub fn dialer(&self) -> Option<&Arc<Dialer>> {
        self.dialer.as_ref()
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
        Self { connect: dialer::tcp(true), ..self }
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
        let path = match &self.dialer {
            Some(dialer) => dialer.path().await,
            None => Path::Direct,
        };
        let id = self.id_header.as_ref().and_then(|name| request.headers().get(name)).cloned();
        let mut connection = match self.take(address, path, id.as_ref()) {
            Some(connection) => connection,
            None => self.open(address, path).await?,
        };
        connection.last_id = id;
        if !prepare(&mut request) {
            return Err(Failure::NotSent(NOT_PERMITTED.to_owned()));
        }
        let is_repeatable = request.extensions().get::<Repeatable>().is_some();
        connection.meter.begin();
        connection.begin();
        let dialer = self.dialer.as_ref().filter(|_| connection.relayed.is_none());
        let sending = connection.sender.send_request(request);
        let sent = match dialer {
            Some(dialer) => dialer.wait(address, is_repeatable, sending).await,
            None => Some(sending.await),
        };
        let Some(sent) = sent else {
            return Err(Failure::Lost(CUT_OFF.to_owned()));
        };
        match sent {
            Ok(response) => {
                connection.record_answer(address, dialer);
                let status = response.status();
                if !is_final(status) {
                    return Err(Failure::Malformed(format!("{status} is no final status")));
                }
                let exchange = Exchange::new(response, connection, address, self, is_repeatable);
                if exchange.framing == Framing::Missing {
                    record_end(address, "framing");
                    let reason = "the response has neither a length nor chunks, nor ends with the connection";
                    return Err(Failure::Malformed(reason.to_owned()));
                }
                Ok(exchange)
            }
            Err(error) if connection.is_lost(&error) => {
                Err(Failure::Lost("the host that relayed the request was lost".to_owned()))
            }
            Err(_) if connection.meter.is_write_refused() => {
                Err(Failure::NotSent(NOT_PERMITTED.to_owned()))
            }
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

    /// Returns whether nothing listens at an address any more, which tells a server that has crashed
    /// from one that only closed a connection. False if that can't be told.
    pub async fn is_refused_by(&self, address: &str) -> bool {
        let connect = match &self.dialer {
            Some(dialer) if dialer.is_direct() => dialer.connect(),
            Some(_) => return false,
            None => &self.connect,
        };
        let opened = time::timeout(REFUSAL_TIMEOUT, connect(address.to_owned())).await;
        matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
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
        if let Some(dialer) = &self.dialer {
            dialer.relay.prune();
        }
    }

    /// Removes and returns an idle connection that can be reused on the given path for a request
    /// with an id.
    fn take(&self, address: &str, path: Path, id: Option<&HeaderValue>) -> Option<Connection> {
        let now = Instant::now();
        // A host that is cut off may still use what it opened before; one that has returned may not.
        let cuts = self.dialer.as_ref().map(|dialer| dialer.cuts());
        let is_relayed = path == Path::Relayed;
        let is_alive = |connection: &Connection| {
            path == Path::Closed || cuts.is_none_or(|cuts| cuts == connection.cuts)
        };
        let fits = |idle: &Idle| {
            let connection = &idle.connection;
            let is_repeated = id.is_some() && connection.last_id.as_ref() == id;
            let is_reached = is_relayed || is_alive(connection);
            connection.relayed.is_some() == is_relayed && is_reached && !is_repeated
        };
        let mut lock = self.lock();
        let list = lock.get_mut(address)?;
        list.retain(|idle| now < idle.until && idle.connection.sender.is_ready());
        let position = list.iter().rposition(fits)?;
        Some(list.remove(position).connection)
    }

    /// Opens a connection on the given path.
    async fn open(&self, address: &str, path: Path) -> Result<Connection, Failure> {
        let Some(dialer) = &self.dialer else {
            let stream = dialer::open_direct(&self.connect, address).await;
            let stream = stream.map_err(Failure::NotSent)?;
            return self.handshake(address, stream, None, 0).await;
        };
        let cuts = dialer.cuts();
        let (stream, helper) = dialer.open(address, path).await.map_err(Failure::NotSent)?;
        let relayed = helper.map(|helper| Relayed {
            helper,
            dialer: dialer.clone(),
            until: Instant::now() + RELAYED_TTL,
            is_waiting: false,
        });
        self.handshake(address, stream, relayed, cuts).await
    }

    /// Starts HTTP on an open stream of bytes.
    async fn handshake(
        &self,
        address: &str,
        stream: Box<dyn Io>,
        relayed: Option<Relayed>,
        cuts: u64,
    ) -> Result<Connection, Failure> {
        let meter = Meter::default();
        let stream = Metered::new(stream, meter.clone());
        let stream = stream.with_permission(self.permission.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        let address = address.to_owned();
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("http: a connection to {address} ended: {error}");
            }
        });
        Ok(Connection { sender, driver, meter, relayed, cuts, last_id: None })
    }

    /// Adds an idle connection to the pool for the time `idle`, or closes it if there are too many.
    pub(super) fn keep(&self, address: String, connection: Connection, idle: Duration) {
        let mut lock = self.lock();
        let list = lock.entry(address).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            let until = Instant::now() + idle;
            let until = connection.relayed.as_ref().map_or(until, |relay| relay.until.min(until));
            list.push(Idle { connection, until });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that a response from `address` was ended because it exceeded the limit on `what`.
pub fn record_end(address: &str, what: &'static str) {
    metrics::counter!("catkinlatch_http_responses_ended", "limit" => what).increment(1);
    warn!(address = address, limit = what; "http: ended a response beyond a limit");
}
