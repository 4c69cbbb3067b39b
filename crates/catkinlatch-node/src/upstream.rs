//! HTTP client for calls from a node to targets and the platform.

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::time::Duration;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The connection could not be opened; no byte of the request was sent.
    #[display("cannot connect")]
    Connect,
    /// The connection failed after the request may have been sent, in part or whole.
    #[display("the connection broke")]
    Broken,
    /// The response body is longer than the limit.
    #[display("the answer is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
}

/// An HTTP client that never retries a request by itself.
#[derive(Clone, Debug)]
pub struct Upstream {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Upstream {
    /// Creates a client; connections are opened when requests are sent.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] or [`CallError::Broken`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() { CallError::Connect } else { CallError::Broken }
        })
    }

    /// Sends a request and returns the response with its complete body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::TooLong`] if the body is longer than `limit`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = read_body(body, limit).await?;
        Ok(Response::from_parts(head, body))
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`CallError::TooLong`] if the body is longer than `limit`, and [`CallError::Broken`] if
/// the connection fails.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, limit).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            CallError::TooLong { limit }
        } else {
            CallError::Broken
        }
    })?;
    Ok(collected.to_bytes())
}

/// Builds the URI of a path on `address`, given as `host:port`; `None` if they form no valid URI.
pub fn uri(address: &str, path: &str) -> Option<Uri> {
    Uri::builder().scheme("http").authority(address).path_and_query(path).build().ok()
}
