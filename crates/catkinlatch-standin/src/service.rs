//! A stand-in plain service that echoes requests and records each run.

use crate::{announce, server};
use catkinlatch_base::{BootId, RequestId, RouteId, TargetId, ZoneId};
use catkinlatch_node::{LEAVING, entry::REQUEST_ID};
use catkinlatch_route::{Announcement, target::Role};
use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseOk, HttpServer, Path, RequestContext, UntypedBody,
    endpoint,
};
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::task::JoinHandle;

/// The prefix of API keys.
const API_KEY_PREFIX: &str = "ck_";

/// The state that the service shares with its handlers.
#[derive(Debug, Default)]
struct Shared {
    runs: Mutex<Vec<RequestId>>,
    saw_caller_key: AtomicBool,
    says_leaving: AtomicBool,
}

/// A running stand-in service.
pub struct Service {
    server: HttpServer<Arc<Shared>>,
    shared: Arc<Shared>,
    announcer: JoinHandle<()>,
}

impl Service {
    /// Starts a service for `route` that listens on `listen` and announces itself to `nodes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't listen on the address.
    pub async fn start(
        id: TargetId,
        route: RouteId,
        zone: ZoneId,
        listen: SocketAddr,
        nodes: Vec<SocketAddr>,
    ) -> Result<Self, String> {
        let shared = Arc::new(Shared::default());
        let mut api = ApiDescription::new();
        api.register(run).map_err(|error| error.to_string())?;
        api.register(get_runs).map_err(|error| error.to_string())?;
        let server = server::start(api, shared.clone(), listen)?;
        let announcement = Announcement {
            id,
            boot: boot_id(),
            role: Role::Service { route },
            zone,
            address: server.local_addr().to_string(),
            slots: 8,
            price_class: "full".to_owned(),
            checks_fencing: false,
        };
        announce::announce(&nodes, &announcement).await;
        let announcer = tokio::spawn(async move {
            loop {
                tokio::time::sleep(announce::INTERVAL).await;
                announce::announce(&nodes, &announcement).await;
            }
        });
        Ok(Self { server, shared, announcer })
    }

    /// Returns the id of each run's request, in order, with repetitions.
    pub fn runs(&self) -> Vec<RequestId> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether any request contained a caller's API key, in a header or in the query.
    pub fn saw_caller_key(&self) -> bool {
        self.shared.saw_caller_key.load(Ordering::Relaxed)
    }

    /// Lets the service say in its answers that it leaves; it announces itself as before.
    pub fn set_leaving(&self, says_leaving: bool) {
        self.shared.says_leaving.store(says_leaving, Ordering::Relaxed);
    }

    /// Stops the service and its announcements.
    ///
    /// # Errors
    ///
    /// Returns an error if the server did not shut down regularly.
    pub async fn stop(self) -> Result<(), String> {
        self.announcer.abort();
        self.server.close().await
    }
}

/// Generates a random boot id.
pub fn boot_id() -> BootId {
    format!("{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are valid in an id")
}

#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    #[expect(dead_code, reason = "the service answers the same on every path")]
    rest: Vec<String>,
}

/// The fields of a request body that the service interprets.
#[derive(Default, Deserialize)]
struct RunOptions {
    /// How long the run takes, in milliseconds; zero if absent.
    #[serde(default)]
    delay_ms: u64,
}

/// Records the run and answers with the body of the request.
#[endpoint { method = POST, path = "/{rest:.*}", unpublished = true }]
async fn run(
    context: RequestContext<Arc<Shared>>,
    _path: Path<AnyPath>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let id = context.request.headers().get(REQUEST_ID).cloned();
    let headers = context.request.headers().values().map(|value| value.as_bytes());
    let query = context.request.uri().query().unwrap_or_default().as_bytes();
    if headers.chain([query]).any(|text| String::from_utf8_lossy(text).contains(API_KEY_PREFIX)) {
        context.context().saw_caller_key.store(true, Ordering::Relaxed);
    }
    let mut response = Response::builder().header("content-type", "application/json");
    if let Some(id) = id {
        let parsed = id.to_str().ok().and_then(|text| text.parse().ok());
        context.context().runs.lock().unwrap_or_else(PoisonError::into_inner).extend(parsed);
        response = response.header(REQUEST_ID, id);
    }
    if context.context().says_leaving.load(Ordering::Relaxed) {
        response = response.header(LEAVING, "1");
    }
    let options: RunOptions = serde_json::from_slice(body.as_bytes()).unwrap_or_default();
    tokio::time::sleep(Duration::from_millis(options.delay_ms)).await;
    let body = Body::from(body.as_bytes().to_vec());
    Ok(response.body(body).expect("the parts are valid"))
}

/// Returns the id of each run's request, in order, with repetitions.
#[endpoint { method = GET, path = "/{rest:.*}", unpublished = true }]
async fn get_runs(
    context: RequestContext<Arc<Shared>>,
    _path: Path<AnyPath>,
) -> Result<HttpResponseOk<Vec<RequestId>>, HttpError> {
    let runs = context.context().runs.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(HttpResponseOk(runs.clone()))
}
