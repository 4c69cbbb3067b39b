//! The platform, as far as it takes reports.

use catkinlatch_runtime::http::{Body, Server, collect, empty, serve};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch};

/// A report of one window, as it was first taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The requests of each team.
    pub counts: Value,
    /// How often the same was sent.
    pub times: u32,
    /// Whether other counts were sent as well.
    pub is_contradicted: bool,
}

/// The platform, as far as it takes reports.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    reports: Arc<Mutex<BTreeMap<u64, Report>>>,
    _stop: watch::Sender<bool>,
}

impl Platform {
    /// Starts the platform.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (keep, stop) = watch::channel(false);
        let address = listener.local_addr()?;
        let platform = Self { address, reports: Arc::default(), _stop: keep };
        let answering = platform.clone();
        let server = Server { idle_timeout: Duration::from_secs(10), stop };
        tokio::spawn(serve(server, listener, move |request| answering.clone().answer(request)));
        Ok(platform)
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the reports by window.
    pub fn reports(&self) -> BTreeMap<u64, Report> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how many requests of a team were reported in all windows.
    pub fn requests(&self, team: &str) -> u64 {
        let reports = self.reports();
        reports.values().filter_map(|report| report.counts[team].as_u64()).sum()
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let body = collect(request.into_body(), 1 << 20).await.unwrap_or_default();
        let report: Value = serde_json::from_slice(&body).unwrap_or_default();
        let mut response = Response::new(empty());
        let Some(window) = report["window_id"].as_u64() else {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        let counts = report["counts"].clone();
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Report { counts: counts.clone(), times: 0, is_contradicted: false };
        let held = reports.entry(window).or_insert_with(new);
        held.times += 1;
        held.is_contradicted |= held.counts != counts;
        response
    }
}
