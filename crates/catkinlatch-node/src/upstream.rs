//! HTTP client for calls from a node to targets and the platform.

use crate::entry::REQUEST_ID;
use bytes::Bytes;
use catkinlatch_runtime::http::{BodyError, Client, Dialer, Exchange, Failure};
use derive_more::{Display, Error};
use http::{HeaderName, HeaderValue, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::sync::Arc;

/// Port of addresses that name none.
const DEFAULT_PORT: u16 = 80;

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The connection could not be opened; no byte of the request was sent.
    #[display("cannot connect")]
    Connect,
    /// The connection failed after the request may have been sent, in part or whole.
    #[display("the connection broke")]
    Broken,
    /// The path to the target was lost, which shows nothing about the target.
    #[display("the path to the target was lost")]
    Lost,
    /// The target sent bytes that are no response, or exceeded a limit other than the body's.
    #[display("the answer is malformed or has no end")]
    Malformed,
    /// The response body is longer than the limit.
    #[display("the answer is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
}

/// An HTTP client that never retries a request by itself; its responses stay within the limits of
/// [`catkinlatch_runtime::http::Limits`].
#[derive(Clone, Debug)]
pub struct Upstream {
    client: Client,
}

impl Default for Upstream {
    fn default() -> Self {
        Self::new()
    }
}

impl Upstream {
    /// Creates a client; connections are opened when requests are sent.
    pub fn new() -> Self {
        Self { client: Client::new().with_id_header(HeaderName::from_static(REQUEST_ID)) }
    }

    /// Opens connections with `dialer`, which may have other nodes relay them.
    pub fn with_dialer(self, dialer: Arc<Dialer>) -> Self {
        Self { client: self.client.with_dialer(dialer) }
    }

    /// Sends a request with an absolute URI and returns the response as soon as its head has
    /// arrived.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`], [`CallError::Broken`] or [`CallError::Malformed`].
    pub async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Exchange, CallError> {
        self.client.prune();
        let uri = std::mem::take(request.uri_mut());
        let authority = uri.authority().ok_or(CallError::Connect)?;
        if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
            request.headers_mut().entry(header::HOST).or_insert(host);
        }
        let port = authority.port_u16().unwrap_or(DEFAULT_PORT);
        let address = format!("{}:{port}", authority.host());
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse().map_err(|_| CallError::Connect)?;
        let request = request.map(|body| body.map_err(|never| match never {}).boxed_unsync());
        let sent = self.client.send(&address, request).await;
        sent.map_err(|failure| match failure {
            Failure::NotSent(_) => CallError::Connect,
            Failure::Unknown(_) => CallError::Broken,
            Failure::Malformed(_) => CallError::Malformed,
            Failure::Lost(_) => CallError::Lost,
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
        read_whole(self.send(request).await?, limit).await
    }
}

/// Reads the rest of a response with a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`CallError::TooLong`] if the body is longer than `limit`, and [`CallError::Broken`] or
/// [`CallError::Malformed`] if it cannot be read to its end.
pub async fn read_whole(exchange: Exchange, limit: usize) -> Result<Response<Bytes>, CallError> {
    exchange.read_body(limit).await.map_err(|error| body_error(&error, limit))
}

/// Converts the error of reading a body of at most `limit` bytes.
pub fn body_error(error: &BodyError, limit: usize) -> CallError {
    match error {
        BodyError::TooLong => CallError::TooLong { limit },
        BodyError::Broken(_) => CallError::Broken,
        BodyError::Lost(_) => CallError::Lost,
        BodyError::Malformed(_) | BodyError::NoMemory | BodyError::TooSlow => CallError::Malformed,
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
