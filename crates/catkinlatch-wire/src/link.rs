//! A link: a session with another node that is reopened whenever it fails.

use crate::{Error, Frame, Hello, Secret, Session, connect};
use bytes::Bytes;
use catkinlatch_base::HostId;
use log::{debug, info, warn};
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::{
    net::lookup_host,
    sync::{mpsc, watch},
    time,
};

/// Capacity of the queue of messages to a node; messages beyond it are dropped.
const QUEUE_MESSAGES: usize = 4096;

/// Delay between the end of a session, or a failed attempt, and the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Consecutive failures to open a session per warning; the others are logged at debug level.
const FAILURES_PER_WARNING: u32 = 100;

/// Host and address of the node at the other end of a link.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The host that is expected at the address; a session with another one is refused.
    pub host: HostId,
    /// The address as `host:port`, resolved anew for each attempt.
    pub address: String,
}

/// Handle for sending to another node.
#[derive(Debug)]
pub struct Link {
    queue: mpsc::Sender<Frame>,
    session: watch::Receiver<Opened>,
}

/// The open session of a link, if any.
#[derive(Clone, Default)]
struct Opened(Option<Session>);

impl std::fmt::Debug for Opened {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Opened").field(&self.0.is_some()).finish()
    }
}

impl Link {
    /// Returns the open session, if any.
    pub fn session(&self) -> Option<Session> {
        self.session.borrow().0.clone()
    }

    /// Queues a message; it is dropped if no session is open or the queue is full.
    pub fn send(&self, frame: Frame) {
        if self.session.borrow().0.is_none() {
            return;
        }
        if self.queue.try_send(frame).is_err() {
            metrics::counter!("catkinlatch_peer_messages_lost").increment(1);
        }
    }
}

/// Creates a link and the future that keeps its session open, which never completes.
///
/// `greeting` is sent as the first message of each new session; the other node handles it like any
/// other message.
pub fn link(
    destination: Destination,
    local: Hello,
    secret: Secret,
    greeting: Bytes,
) -> (Link, impl Future<Output = ()> + Send) {
    let (queue, queued) = mpsc::channel(QUEUE_MESSAGES);
    let (opened, session) = watch::channel(Opened::default());
    let driver = Driver { destination, local, secret, greeting, queued, opened };
    (Link { queue, session }, driver.run())
}

/// Opens sessions and sends the queued messages.
struct Driver {
    destination: Destination,
    local: Hello,
    secret: Secret,
    greeting: Bytes,
    queued: mpsc::Receiver<Frame>,
    opened: watch::Sender<Opened>,
}

impl Driver {
    async fn run(mut self) {
        let mut failures = 0_u32;
        loop {
            match self.run_session().await {
                Ok(never) => match never {},
                Err(error) => {
                    let had_session = self.opened.send_replace(Opened::default()).0.is_some();
                    failures = if had_session { 0 } else { failures + 1 };
                    self.log_failure(&error, had_session, failures);
                }
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    fn log_failure(&self, error: &Error, had_session: bool, failures: u32) {
        let host = &self.destination.host;
        if had_session {
            info!("peer: the session with {host} ended: {error}");
        } else if failures % FAILURES_PER_WARNING == 1 {
            warn!("peer: cannot open a session with {host}: {error}");
        } else {
            debug!("peer: cannot open a session with {host}: {error}");
        }
    }

    /// Opens a session and sends queued messages until it fails.
    ///
    /// Messages that were queued for the previous session are dropped.
    async fn run_session(&mut self) -> Result<std::convert::Infallible, Error> {
        let address = self.resolve().await?;
        let (session, driver) = connect(address, &self.local, &self.secret).await?;
        if session.remote().host != self.destination.host {
            let reason = format!("host {} answered at the address", session.remote().host);
            return Err(Error::protocol(reason));
        }
        tokio::pin!(driver);
        let mut lane = tokio::select! {
            error = &mut driver => return Err(error),
            lane = session.open_lane() => lane?,
        };
        while self.queued.try_recv().is_ok() {}
        self.opened.send_replace(Opened(Some(session)));
        info!("peer: opened a session with {}", self.destination.host);
        let greeting = Frame::new(self.greeting.clone());
        let send = async {
            lane.send(&greeting).await?;
            while let Some(frame) = self.queued.recv().await {
                lane.send(&frame).await?;
            }
            Err(Error::protocol("the link was dropped"))
        };
        tokio::select! {
            error = &mut driver => Err(error),
            ended = send => ended,
        }
    }

    async fn resolve(&self) -> Result<SocketAddr, Error> {
        let mut addresses = lookup_host(&self.destination.address).await?;
        addresses
            .next()
            .ok_or_else(|| Error::protocol("the address does not resolve to an IP address"))
    }
}
