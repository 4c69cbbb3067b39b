//! Sessions with other processes, opened on first use.

use crate::{Settings, settings::CLUSTER};
use catkinlatch_base::{HostId, Incarnation, random};
use catkinlatch_wire::{Destination, Error, Frame, Hello, Link, PROTOCOL, Secret, codec, link};
use derive_more::{Display, Error as DeriveError};
use log::info;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    task::AbortHandle,
    time::{self, Instant},
};

/// Time after which an unused link may be pruned.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which a call polls whether its session is open.
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Error of a call to another process.
#[derive(Debug, Display, DeriveError)]
pub enum CallError {
    /// The message was not sent, because no session was open before the timeout.
    #[display("host {host} is not connected")]
    NotSent {
        /// The host that was called.
        host: HostId,
    },
    /// There is no valid answer, but the message may have been handled.
    #[display("host {host} did not answer: {reason}")]
    Unknown {
        /// The host that was called.
        host: HostId,
        /// Why there is no valid answer.
        reason: Error,
    },
}

/// A link to another host, with the task that keeps its session open.
#[derive(Debug)]
struct CachedLink {
    link: Arc<Link>,
    driver: AbortHandle,
    last_used: Instant,
}

impl Drop for CachedLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The sessions of this process with other processes.
#[derive(Debug)]
pub struct Peers {
    local: Hello,
    secret: Secret,
    port: u16,
    links: Mutex<BTreeMap<HostId, CachedLink>>,
}

impl Peers {
    /// Creates an instance without sessions and generates the incarnation of this process.
    pub fn new(settings: &Settings) -> Self {
        let local = Hello {
            protocol: PROTOCOL,
            cluster: CLUSTER.parse().expect("the name is valid"),
            host: settings.host.clone(),
            incarnation: Incarnation::generate(&mut random::generator()),
            zone: settings.zone.clone(),
            settings_digest: [0; 32],
        };
        // Empty, because only the system's own hosts can reach the port and the platform provides
        // no secret.
        let secret = Secret::new("");
        Self { local, secret, port: settings.peer_port, links: Mutex::default() }
    }

    /// Returns the identity that this process presents to others.
    pub fn local(&self) -> &Hello {
        &self.local
    }

    /// Returns the secret shared by the processes.
    pub fn secret(&self) -> &Secret {
        &self.secret
    }

    /// Sends a message without an answer.
    ///
    /// The message may be lost, but messages to one host are not reordered.
    pub fn send(&self, host: &HostId, message: &impl Serialize) {
        self.link(host).send(Frame::new(codec::encode(message)));
    }

    /// Sends a message and returns the answer; `timeout` includes the time until a session is open.
    ///
    /// # Errors
    ///
    /// Returns an error that indicates whether the message may have been handled.
    pub async fn call<R: DeserializeOwned>(
        &self,
        host: &HostId,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<R, CallError> {
        call(&self.link(host), host, message, timeout).await
    }

    /// Like [`Self::call`], but opens a new session, which replaces the open one if it answers.
    ///
    /// A session whose connection has fallen silent is noticed only by its own timeout.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::call`] does; the open session is then kept.
    pub async fn call_anew<R: DeserializeOwned>(
        &self,
        host: &HostId,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let spare = self.open_link(host);
        let answer = call(&spare.link, host, message, timeout).await?;
        info!(host:% = host; "peer: replaced a silent session");
        self.lock().insert(host.clone(), spare);
        Ok(answer)
    }

    /// Closes the sessions that have not been used for `IDLE_TIMEOUT`.
    pub fn prune(&self) {
        let now = Instant::now();
        self.lock().retain(|_, cached| now < cached.last_used + IDLE_TIMEOUT);
    }

    /// Returns the link to a host; creates it if there is none.
    fn link(&self, host: &HostId) -> Arc<Link> {
        let mut links = self.lock();
        let cached = links.entry(host.clone()).or_insert_with(|| self.open_link(host));
        cached.last_used = Instant::now();
        cached.link.clone()
    }

    /// Opens a link to a host, which is closed when it is dropped.
    fn open_link(&self, host: &HostId) -> CachedLink {
        let address = format!("{host}:{}", self.port);
        let destination = Destination { host: host.clone(), address };
        let greeting = codec::encode(&crate::Message::Greeting);
        let (link, driver) = link(destination, self.local.clone(), self.secret.clone(), greeting);
        let driver = tokio::spawn(driver).abort_handle();
        CachedLink { link: Arc::new(link), driver, last_used: Instant::now() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostId, CachedLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a message over a link and returns the answer; `timeout` includes the time until a session
/// is open.
async fn call<R: DeserializeOwned>(
    link: &Link,
    host: &HostId,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<R, CallError> {
    let deadline = Instant::now() + timeout;
    let session = loop {
        match link.session() {
            Some(session) => break session,
            None if Instant::now() + OPEN_POLL_INTERVAL >= deadline => {
                return Err(CallError::NotSent { host: host.clone() });
            }
            None => time::sleep(OPEN_POLL_INTERVAL).await,
        }
    };
    let unknown = |reason| CallError::Unknown { host: host.clone(), reason };
    let frame = Frame::new(codec::encode(message));
    let answer = match time::timeout_at(deadline, session.call(&frame)).await {
        Ok(answer) => answer.map_err(unknown)?,
        Err(_) => return Err(unknown(Error::Timeout)),
    };
    codec::decode(&answer.payload).map_err(|error| unknown(Error::protocol(error.to_string())))
}
