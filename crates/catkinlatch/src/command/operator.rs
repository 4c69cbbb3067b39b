//! Client of the operator interface of a node.

use super::exit::{Failure, Outcome};
use bytes::Bytes;
use catkinlatch_node::Settings;
use catkinlatch_state::config::{Change, Reply};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{env, path::Path, process::ExitCode, time::Duration};

/// The environment variable with the operator token, read if the settings give none.
const TOKEN_VARIABLE: &str = "CATKINLATCH_OPERATOR_TOKEN";

/// The operator address if neither `--operator` nor `--settings` is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7101";

/// Timeout of one call, and of connecting.
const TIMEOUT: Duration = Duration::from_secs(10);

/// How many times a change is sent before its outcome is reported as unknown.
const CHANGE_ATTEMPTS: u32 = 5;

/// Pause between two attempts to send a change.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);

/// Returns the operator token from the settings, or else from the environment.
pub fn token(settings: Option<&Settings>) -> Option<String> {
    let token = settings.and_then(|settings| settings.operator_token.as_ref());
    token.map(|token| token.expose().to_owned()).or_else(|| env::var(TOKEN_VARIABLE).ok())
}

/// An HTTP client of the operator interface of one node.
#[derive(Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: String,
    token: Option<String>,
}

impl Client {
    /// Creates a client for the node given by its address or its settings file.
    ///
    /// The address wins over the settings; the default is a node on this machine.
    ///
    /// # Errors
    ///
    /// Returns the findings if the settings cannot be loaded.
    pub fn new(address: Option<String>, settings: Option<&Path>) -> Result<Self, Failure> {
        let settings = settings.map(Settings::load).transpose()?;
        let from_settings = settings.as_ref().map(|s| s.operator_listen.to_string());
        let address = address.or(from_settings).unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        Ok(Self::with_address(address, token(settings.as_ref())))
    }

    /// Creates a client for an operator address, given as host:port.
    pub fn with_address(address: String, token: Option<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(TIMEOUT));
        let http = HttpClient::builder(TokioExecutor::new()).build(connector);
        Self { http, address, token }
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the status is no success or the body cannot be decoded.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.decode(self.send(Method::GET, path, Bytes::new()).await?)
    }

    /// Posts a JSON document and returns the document in the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the status is no success or the body cannot be decoded.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(document).expect("the document serializes");
        self.decode(self.send(Method::POST, path, Bytes::from(body)).await?)
    }

    /// Sends a change, and retries it after a failed call or a server error.
    ///
    /// All attempts have the same request id, so that the cluster applies the change once.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] if no attempt had a definite response, and
    /// [`Failure::Unusable`] if the node rejected the call or its response cannot be decoded.
    pub async fn send_change(&self, change: &Change) -> Result<Reply, Failure> {
        let body = serde_json::to_vec(change).expect("a change serializes");
        let mut last = None;
        for attempt in 0..CHANGE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(CHANGE_PAUSE).await;
            }
            let sent = self.send(Method::POST, "/v1/config/changes", Bytes::from(body.clone()));
            match sent.await {
                Ok(response) if response.status().is_server_error() => {
                    last = Some(self.decode::<Reply>(response).err());
                }
                Ok(response) => return self.decode(response),
                Err(failure) => last = Some(Some(failure)),
            }
        }
        let last = last.flatten().map(|failure| failure.to_string()).unwrap_or_default();
        Err(Failure::Unknown(format!(
            "change {} may or may not have been made: {last}",
            change.request
        )))
    }

    /// Prints the revision of an accepted change, or returns why the change was refused.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Refused`] for any other reply.
    pub fn report_reply(&self, reply: &Reply) -> Outcome {
        match reply {
            Reply::Accepted { revision } => {
                eprintln!("accepted as revision {revision}");
                Ok(ExitCode::SUCCESS)
            }
            Reply::Conflict { winner, revision } => {
                let winner = winner.as_ref().map_or("an earlier change", |id| id.as_str());
                Err(Failure::Refused(format!(
                    "conflict: {winner} made revision {revision} first; review it and try again"
                )))
            }
            Reply::RequestReused { request } => Err(Failure::Refused(format!(
                "request {request} was already used with different content; give another --request"
            ))),
            Reply::Invalid { faults } => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                Err(Failure::Refused(lines.join("\n")))
            }
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Full::new(body)).map_err(|error| self.unusable(error))?;
        let exchange = async {
            let (head, body) =
                self.http.request(request).await.map_err(|e| e.to_string())?.into_parts();
            let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
            Ok::<_, String>(Response::from_parts(head, body))
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(result) => result.map_err(|error| self.unusable(error)),
            Err(_) => Err(self.unusable("the call timed out")),
        }
    }

    fn decode<T: DeserializeOwned>(&self, response: Response<Bytes>) -> Result<T, Failure> {
        if !response.status().is_success() {
            let body = String::from_utf8_lossy(response.body());
            return Err(self.unusable(format!("{}: {body}", response.status())));
        }
        serde_json::from_slice(response.body()).map_err(|error| self.unusable(error))
    }

    fn unusable(&self, error: impl std::fmt::Display) -> Failure {
        Failure::Unusable(format!(
            "cannot use the node at {}: {error}; give its operator address with --operator or its \
             settings file with --settings",
            self.address
        ))
    }
}
