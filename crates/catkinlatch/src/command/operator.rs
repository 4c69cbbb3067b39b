//! Calls to the operator interface of a node.

use super::exit::{Failure, Outcome};
use bytes::Bytes;
use catkinlatch_node::Settings;
use catkinlatch_state::config::{Change, Reply};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{env, path::Path, process::ExitCode, time::Duration};

/// The environment variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "CATKINLATCH_OPERATOR_TOKEN";

/// Where operators connect unless the command says otherwise.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7101";

/// How long one call may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// How often a change is sent before its outcome is given up as unknown.
const CHANGE_ATTEMPTS: u32 = 5;

/// How long to wait before a change is sent again.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);

/// Finds the operator's token in the settings or in the environment.
pub fn token(settings: Option<&Settings>) -> Option<String> {
    let token = settings.and_then(|settings| settings.operator_token.as_ref());
    token.map(|token| token.expose().to_owned()).or_else(|| env::var(TOKEN_VARIABLE).ok())
}

/// The operator interface of one node.
#[derive(Debug)]
pub struct Operator {
    client: Client<HttpConnector, Full<Bytes>>,
    address: String,
    token: Option<String>,
}

impl Operator {
    /// Finds the node that a command names by address or settings file.
    pub fn new(address: Option<String>, settings: Option<&Path>) -> Result<Self, Failure> {
        let settings = settings.map(Settings::load).transpose()?;
        let from_settings = settings.as_ref().map(|s| s.operator_listen.to_string());
        let address = address.or(from_settings).unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        Ok(Self::at(address, token(settings.as_ref())))
    }

    /// Names a node by its address.
    pub fn at(address: String, token: Option<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, address, token }
    }

    /// Gets a document.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.read(self.send(Method::GET, path, Bytes::new()).await?)
    }

    /// Posts a document and returns the answering one.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(document).expect("the document serializes");
        self.read(self.send(Method::POST, path, Bytes::from(body)).await?)
    }

    /// Sends a change; after a lost answer it sends the same change again.
    pub async fn change(&self, change: &Change) -> Result<Reply, Failure> {
        let body = serde_json::to_vec(change).expect("a change serializes");
        let mut last = None;
        for attempt in 0..CHANGE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(CHANGE_PAUSE).await;
            }
            let sent = self.send(Method::POST, "/v1/config/changes", Bytes::from(body.clone()));
            match sent.await {
                Ok(response) if response.status().is_server_error() => {
                    last = Some(self.read::<Reply>(response).err());
                }
                Ok(response) => return self.read(response),
                Err(failure) => last = Some(Some(failure)),
            }
        }
        let last = last.flatten().map(|failure| failure.to_string()).unwrap_or_default();
        Err(Failure::Unknown(format!("change {} may or may not be made: {last}", change.request)))
    }

    /// Turns the answer to a change into the command's outcome.
    pub fn explain(&self, reply: &Reply) -> Outcome {
        match reply {
            Reply::Accepted { revision } => {
                eprintln!("accepted as revision {revision}");
                Ok(ExitCode::SUCCESS)
            }
            Reply::Conflict { winner, revision } => {
                let winner = winner.as_ref().map_or("an earlier change", |id| id.as_str());
                Err(Failure::Refused(format!(
                    "conflict: {winner} made revision {revision} first; look at it and try again"
                )))
            }
            Reply::RequestReused { request } => Err(Failure::Refused(format!(
                "request {request} was used with other content; give another --request"
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
                self.client.request(request).await.map_err(|e| e.to_string())?.into_parts();
            let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
            Ok::<_, String>(Response::from_parts(head, body))
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(result) => result.map_err(|error| self.unusable(error)),
            Err(_) => Err(self.unusable("no answer in time")),
        }
    }

    fn read<T: DeserializeOwned>(&self, response: Response<Bytes>) -> Result<T, Failure> {
        if !response.status().is_success() {
            let body = String::from_utf8_lossy(response.body());
            return Err(self.unusable(format!("{}: {body}", response.status())));
        }
        serde_json::from_slice(response.body()).map_err(|error| self.unusable(error))
    }

    fn unusable(&self, error: impl std::fmt::Display) -> Failure {
        Failure::Unusable(format!(
            "the node at {} cannot be used: {error}; name its operator address by --operator or \
             its file by --settings",
            self.address
        ))
    }
}
