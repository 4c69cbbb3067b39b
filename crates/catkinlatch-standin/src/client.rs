//! A small HTTP client for callers, trainers and operators.

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;

/// An HTTP client with one base address and perhaps a key.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: String,
    key: Option<String>,
}

impl Client {
    /// Creates a client that talks to `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new()).build(connector);
        Self { pool, address: address.to_string(), key: None }
    }

    /// Sets the key that goes with each request.
    pub fn with_key(self, key: impl Into<String>) -> Self {
        Self { key: Some(key.into()), ..self }
    }

    /// Sends a request and returns the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Bytes>, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
        let response = self.pool.request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Posts a document and returns the whole answer.
    pub async fn post(
        &self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<Response<Bytes>, String> {
        let body = serde_json::to_vec(document).map_err(|error| error.to_string())?;
        self.send(Method::POST, path, &[], Bytes::from(body)).await
    }

    /// Gets a document.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        let response = self.send(Method::GET, path, &[], Bytes::new()).await?;
        if !response.status().is_success() {
            let body = String::from_utf8_lossy(response.body());
            return Err(format!("{path} answered {}: {body}", response.status()));
        }
        serde_json::from_slice(response.body()).map_err(|error| format!("{path}: {error}"))
    }
}
