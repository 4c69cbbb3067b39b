//! Keeps a session with one other node open.

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

/// How many messages may wait for a slow node; further ones are lost.
const QUEUE_MESSAGES: usize = 4096;

/// How long a link rests before it opens a session again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How many failures in a row pass between two warnings about one node.
const FAILURES_PER_WARNING: u32 = 100;

/// Where another node is found.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The host that must answer there.
    pub host: HostId,
    /// The address, as `host:port`.
    pub address: String,
}

/// The way to one other node.
#[derive(Debug)]
pub struct Link {
    queue: mpsc::Sender<Frame>,
    session: watch::Receiver<Opened>,
}

/// The session of a link, while one is open.
#[derive(Clone, Default)]
struct Opened(Option<Session>);

impl std::fmt::Debug for Opened {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Opened").field(&self.0.is_some()).finish()
    }
}

impl Link {
    /// Returns the session, if one is open.
    pub fn session(&self) -> Option<Session> {
        self.session.borrow().0.clone()
    }

    /// Queues a message that may be lost.
    pub fn send(&self, frame: Frame) {
        if self.session.borrow().0.is_none() {
            return;
        }
        if self.queue.try_send(frame).is_err() {
            metrics::counter!("catkinlatch_peer_messages_lost").increment(1);
        }
    }
}

/// Creates a link and the future that keeps its session open, which never ends.
///
/// Each new session begins with the `greeting`, which the other node handles like any message.
pub fn link(
    destination: Destination,
    local: Hello,
    secret: Secret,
    greeting: Bytes,
) -> (Link, impl Future<Output = ()> + Send) {
    let (queue, waiting) = mpsc::channel(QUEUE_MESSAGES);
    let (opened, session) = watch::channel(Opened::default());
    let driver = Driver { destination, local, secret, greeting, waiting, opened };
    (Link { queue, session }, driver.run())
}

/// Opens sessions and sends what waits.
struct Driver {
    destination: Destination,
    local: Hello,
    secret: Secret,
    greeting: Bytes,
    waiting: mpsc::Receiver<Frame>,
    opened: watch::Sender<Opened>,
}

impl Driver {
    async fn run(mut self) {
        let mut failures = 0_u32;
        loop {
            match self.session().await {
                Ok(never) => match never {},
                Err(error) => {
                    let had_session = self.opened.send_replace(Opened::default()).0.is_some();
                    failures = if had_session { 0 } else { failures + 1 };
                    self.report(&error, had_session, failures);
                }
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    fn report(&self, error: &Error, had_session: bool, failures: u32) {
        let host = &self.destination.host;
        if had_session {
            info!("peer: the session with {host} ended: {error}");
        } else if failures % FAILURES_PER_WARNING == 1 {
            warn!("peer: cannot open a session with {host}: {error}");
        } else {
            debug!("peer: cannot open a session with {host}: {error}");
        }
    }

    /// Opens a session and sends until it breaks.
    async fn session(&mut self) -> Result<std::convert::Infallible, Error> {
        let address = self.resolve().await?;
        let (session, driver) = connect(address, &self.local, &self.secret).await?;
        if session.remote().host != self.destination.host {
            let reason = format!("host {} answers at its address", session.remote().host);
            return Err(Error::protocol(reason));
        }
        tokio::pin!(driver);
        let mut lane = tokio::select! {
            error = &mut driver => return Err(error),
            lane = session.open() => lane?,
        };
        while self.waiting.try_recv().is_ok() {}
        self.opened.send_replace(Opened(Some(session)));
        info!("peer: a session with {} is open", self.destination.host);
        let greeting = Frame::new(self.greeting.clone());
        let send = async {
            lane.send(&greeting).await?;
            while let Some(frame) = self.waiting.recv().await {
                lane.send(&frame).await?;
            }
            Err(Error::protocol("the node stops"))
        };
        tokio::select! {
            error = &mut driver => Err(error),
            ended = send => ended,
        }
    }

    async fn resolve(&self) -> Result<SocketAddr, Error> {
        let mut addresses = lookup_host(&self.destination.address).await?;
        addresses.next().ok_or_else(|| Error::protocol("its address names no host"))
    }
}
