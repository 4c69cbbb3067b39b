//! A small HTTP client that acts as caller, trainer or operator.

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;

/// An HTTP client with one base address and an optional API key.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: String,
    key: Option<String>,
}

impl Client {
    /// Creates a client without an API key that sends requests to `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new()).build(connector);
        Self { pool, address: address.to_string(), key: None }
    }

    /// Sets the API key, which is sent as a bearer token with each request.
    pub fn with_key(self, key: impl Into<String>) -> Self {
        Self { key: Some(key.into()), ..self }
    }

    /// Sends a JSON request and returns the complete response, whatever its status.
    ///
    /// There is no timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed or the connection fails before the end of the
    /// response.
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

    /// Posts a document as JSON and returns the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if the document can't be serialized, or as [`Self::send`] does.
    pub async fn post(
        &self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<Response<Bytes>, String> {
        let body = serde_json::to_vec(document).map_err(|error| error.to_string())?;
        self.send(Method::POST, path, &[], Bytes::from(body)).await
    }

    /// Fetches a JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is no success or the body is no such document, or as
    /// [`Self::send`] does.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        let response = self.send(Method::GET, path, &[], Bytes::new()).await?;
        if !response.status().is_success() {
            let body = String::from_utf8_lossy(response.body());
            return Err(format!("{path} answered {}: {body}", response.status()));
        }
        serde_json::from_slice(response.body()).map_err(|error| format!("{path}: {error}"))
    }
}
