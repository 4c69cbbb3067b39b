//! Leaving the cluster without cutting a request.

use http::{HeaderValue, Response, header};
use tokio::sync::watch;

/// Whether the node drains; once it does, it never stops.
#[derive(Debug)]
pub struct Drain {
    begun: watch::Sender<bool>,
}

impl Drain {
    /// Creates a drain that has not begun.
    pub fn new() -> Self {
        Self { begun: watch::Sender::new(false) }
    }

    /// Begins; returns whether it had not begun before.
    pub fn begin(&self) -> bool {
        !self.begun.send_replace(true)
    }

    /// Returns whether the node drains.
    pub fn has_begun(&self) -> bool {
        *self.begun.borrow()
    }

    /// Waits until the node drains.
    pub async fn begun(&self) {
        // The sender lives as long as `self`, so waiting cannot fail.
        self.begun.subscribe().wait_for(|begun| *begun).await.ok();
    }

    /// Tells the caller to close its connection after this response, if the node drains.
    pub fn mark<B>(&self, mut response: Response<B>) -> Response<B> {
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
