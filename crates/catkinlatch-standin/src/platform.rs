//! A stand-in platform that takes usage reports.

use crate::server;
use catkinlatch_base::{WindowId, derive_schema};
use catkinlatch_state::window::Figure;
use dropshot::{
    ApiDescription, HttpError, HttpResponseOk, HttpResponseUpdatedNoContent, HttpServer,
    RequestContext, TypedBody, endpoint,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

derive_schema! {
    /// A usage report as the platform reads it.
    pub struct Report {
        /// The window.
        pub window: WindowId,
        /// The figures.
        pub figures: Vec<Figure>,
    }
}

/// What the platform shares with its handlers.
#[derive(Debug, Default)]
struct Shared {
    reports: Mutex<Vec<Report>>,
}

/// A running stand-in platform.
pub struct Platform {
    server: HttpServer<Arc<Shared>>,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform.
    pub async fn start(listen: SocketAddr) -> Result<Self, String> {
        let shared = Arc::new(Shared::default());
        let mut api = ApiDescription::new();
        api.register(take_report).map_err(|error| error.to_string())?;
        api.register(get_reports).map_err(|error| error.to_string())?;
        let server = server::start(api, shared.clone(), listen)?;
        Ok(Self { server, shared })
    }

    /// Returns where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the reports that came, in order.
    pub fn reports(&self) -> Vec<Report> {
        self.shared.reports.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops the platform.
    pub async fn stop(self) -> Result<(), String> {
        self.server.close().await
    }
}

/// Takes a usage report.
#[endpoint { method = POST, path = "/v1/usage" }]
async fn take_report(
    context: RequestContext<Arc<Shared>>,
    body: TypedBody<Report>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let mut reports = context.context().reports.lock().unwrap_or_else(PoisonError::into_inner);
    reports.push(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the reports that came, in order.
#[endpoint { method = GET, path = "/standin/reports" }]
async fn get_reports(
    context: RequestContext<Arc<Shared>>,
) -> Result<HttpResponseOk<Vec<Report>>, HttpError> {
    let reports = context.context().reports.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(HttpResponseOk(reports.clone()))
}
