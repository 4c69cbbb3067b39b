//! Minimal HTTP client for tests.

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use std::net::SocketAddr;

/// An HTTP client of one node.
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Client {
    /// Creates a client; connections are opened when requests are sent.
    pub fn new(address: SocketAddr) -> Self {
        Self { pool: Pool::builder(TokioExecutor::new()).build_http(), address }
    }

    /// Sends a request without a body and returns the response with its complete body.
    pub async fn try_send(&self, method: Method, path: &str) -> Result<Response<Bytes>, String> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(uri).body(Full::default());
        let request = request.map_err(|error| error.to_string())?;
        let response = self.pool.request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request without a body; panics if there is no response.
    pub async fn send(&self, method: Method, path: &str) -> Response<Bytes> {
        self.try_send(method, path).await.expect("the node answers")
    }

    /// Gets a JSON document.
    pub async fn json(&self, path: &str) -> Value {
        serde_json::from_slice(self.send(Method::GET, path).await.body()).expect("JSON")
    }
}
