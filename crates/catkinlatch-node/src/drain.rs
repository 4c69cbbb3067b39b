//! Drain state of a node, which leaves the cluster without cutting off requests.

use http::{HeaderValue, Response, header};
use std::time::Duration;
use tokio::{sync::watch, time};

/// Time without an answer after which a draining node takes all requests on their way to be read.
const QUIET: Duration = Duration::from_millis(200);

/// The longest time that a node waits for that while callers go on to send requests.
const MAX_QUIET_WAIT: Duration = Duration::from_secs(2);

/// Whether the node is draining. A drain cannot be revoked.
#[derive(Debug)]
pub struct Drain {
    begun: watch::Sender<bool>,
    /// Notified of each answer to a caller.
    answered: watch::Sender<()>,
}

impl Drain {
    /// Creates the state of a node that is not draining.
    pub fn new() -> Self {
        Self { begun: watch::Sender::new(false), answered: watch::Sender::new(()) }
    }

    /// Begins to drain; returns whether the node was not draining before.
    pub fn begin(&self) -> bool {
        !self.begun.send_replace(true)
    }

    /// Returns whether the node is draining.
    pub fn has_begun(&self) -> bool {
        *self.begun.borrow()
    }

    /// Waits until the node begins to drain.
    pub async fn wait_begun(&self) {
        // `self` owns the sender, so the channel stays open and waiting cannot fail.
        self.begun.subscribe().wait_for(|begun| *begun).await.ok();
    }

    /// Waits until no caller has been answered for a moment, or for two seconds: requests that were
    /// sent before the node stops are read, also on connections that wait to be accepted.
    pub async fn wait_quiet(&self) {
        let mut answered = self.answered.subscribe();
        let quiet = async { while time::timeout(QUIET, answered.changed()).await.is_ok() {} };
        let _ = time::timeout(MAX_QUIET_WAIT, quiet).await;
    }

    /// Adds `Connection: close` to a response if the node is draining, so that the caller closes
    /// the connection.
    pub fn close_connection<B>(&self, mut response: Response<B>) -> Response<B> {
        self.answered.send_replace(());
        if self.has_begun() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}
