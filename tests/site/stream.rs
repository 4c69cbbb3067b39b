//! A caller's side of a stream.

use super::Setup;
use catkinlatch_runtime::http::{BodyError, Client, Exchange, full};
use catkinlatch_standin::site;
use http::StatusCode;
use std::time::Duration;

/// A caller's connection to a stream, with the text received so far.
pub struct Stream {
    exchange: Exchange,
    text: String,
}

impl Stream {
    /// Requests a stream from the first entry host and waits for the response headers.
    pub async fn open(setup: &Setup, path: &str, id: &str) -> Self {
        let address = setup.site.entries()[0].address(setup.site.ports.callers);
        let request = site::request("POST", path, id, Duration::from_secs(20));
        let request = request.body(full("ask")).unwrap();
        let exchange = Client::new().send(&address, request).await.unwrap();
        assert_eq!(exchange.response.status(), StatusCode::OK);
        assert_eq!(exchange.response.headers()["server-seal"], format!("seal-of-{id}"));
        Self { exchange, text: String::new() }
    }

    /// Reads the next part; returns false at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is interrupted.
    pub async fn read(&mut self) -> Result<bool, BodyError> {
        let part = self.exchange.next().await?;
        self.text.push_str(std::str::from_utf8(part.as_deref().unwrap_or_default()).unwrap());
        Ok(part.is_some())
    }

    /// Returns the ids of the events received so far.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }
}
