//! Drain state of a node, which leaves the cluster without cutting off requests.

use http::{HeaderValue, Response, header};
use tokio::sync::watch;

/// Whether the node is draining. A drain cannot be revoked.
#[derive(Debug)]
pub struct Drain {
    begun: watch::Sender<bool>,
}

impl Drain {
    /// Creates the state of a node that is not draining.
    pub fn new() -> Self {
        Self { begun: watch::Sender::new(false) }
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

    /// Adds `Connection: close` to a response if the node is draining, so that the caller closes
    /// the connection.
    pub fn close_connection<B>(&self, mut response: Response<B>) -> Response<B> {
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
