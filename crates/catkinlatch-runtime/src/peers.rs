//! Sessions with other processes, opened when they are first needed.

use crate::{Settings, settings::CLUSTER};
use catkinlatch_base::{HostId, Incarnation};
use catkinlatch_wire::{Destination, Error, Frame, Hello, Link, PROTOCOL, Secret, codec, link};
use derive_more::{Display, Error as DeriveError};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    task::AbortHandle,
    time::{self, Instant},
};

/// How long a session that nobody used is kept.
const UNUSED: Duration = Duration::from_secs(60);

/// How often a call looks whether its session has opened.
const OPEN_POLL: Duration = Duration::from_millis(5);

/// Says why another process did not answer.
#[derive(Debug, Display, DeriveError)]
pub enum CallError {
    /// No byte of the message was sent.
    #[display("host {host} is not connected")]
    NotSent {
        /// The host.
        host: HostId,
    },
    /// The message may have been handled.
    #[display("host {host} did not answer: {reason}")]
    Unknown {
        /// The host.
        host: HostId,
        /// What happened.
        reason: Error,
    },
}

/// A session that is kept open.
#[derive(Debug)]
struct Kept {
    link: Arc<Link>,
    driver: AbortHandle,
    used: Instant,
}

/// The sessions of this process.
#[derive(Debug)]
pub struct Peers {
    local: Hello,
    secret: Secret,
    port: u16,
    links: Mutex<BTreeMap<HostId, Kept>>,
}

impl Peers {
    /// Creates the sessions of a process that starts.
    pub fn new(settings: &Settings) -> Self {
        let local = Hello {
            protocol: PROTOCOL,
            cluster: CLUSTER.parse().expect("the name is valid"),
            host: settings.host.clone(),
            incarnation: Incarnation::draw(&mut fastrand::Rng::new()),
            zone: settings.zone.clone(),
            agreement: [0; 32],
        };
        // Only the system's own hosts reach the port; the platform hands out no secret.
        let secret = Secret::new("");
        Self { local, secret, port: settings.peer_port, links: Mutex::default() }
    }

    /// Returns who this process is to the others.
    pub fn local(&self) -> &Hello {
        &self.local
    }

    /// Returns the secret that the processes share.
    pub fn secret(&self) -> &Secret {
        &self.secret
    }

    /// Sends a message that is not answered; it may be lost, and keeps its order otherwise.
    pub fn send(&self, host: &HostId, message: &impl Serialize) {
        self.link(host).send(Frame::new(codec::encode(message)));
    }

    /// Sends a message and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns whether the message may have been handled all the same.
    pub async fn call<R: DeserializeOwned>(
        &self,
        host: &HostId,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let link = self.link(host);
        let until = Instant::now() + timeout;
        let session = loop {
            match link.session() {
                Some(session) => break session,
                None if Instant::now() + OPEN_POLL >= until => {
                    return Err(CallError::NotSent { host: host.clone() });
                }
                None => time::sleep(OPEN_POLL).await,
            }
        };
        let unknown = |reason| CallError::Unknown { host: host.clone(), reason };
        let frame = Frame::new(codec::encode(message));
        let answer = match time::timeout_at(until, session.call(&frame)).await {
            Ok(answer) => answer.map_err(unknown)?,
            Err(_) => return Err(unknown(Error::Timeout)),
        };
        codec::decode(&answer.payload).map_err(|error| unknown(Error::protocol(error.to_string())))
    }

    /// Ends the sessions that nobody has used for a while.
    pub fn prune(&self) {
        let now = Instant::now();
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, kept) in links.extract_if(.., |_, kept| now >= kept.used + UNUSED) {
            kept.driver.abort();
        }
    }

    fn link(&self, host: &HostId) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = links.entry(host.clone()).or_insert_with(|| {
            let address = format!("{host}:{}", self.port);
            let destination = Destination { host: host.clone(), address };
            let greeting = codec::encode(&crate::Message::Greeting);
            let (link, driver) =
                link(destination, self.local.clone(), self.secret.clone(), greeting);
            let driver = tokio::spawn(driver).abort_handle();
            Kept { link: Arc::new(link), driver, used: Instant::now() }
        });
        kept.used = Instant::now();
        kept.link.clone()
    }
}
