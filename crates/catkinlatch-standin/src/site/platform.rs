//! A stand-in for the part of the platform that receives usage reports.

use catkinlatch_runtime::http::{Body, Inbound, Server, collect, empty, serve};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    future, io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{net::TcpListener, sync::watch};

/// The first usage report that was received for a window.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The number of requests of each team, as a JSON object.
    pub counts: Value,
    /// How many reports of the window were received, this one included.
    pub received: u32,
    /// Whether a later report of the window had different counts.
    pub is_contradicted: bool,
}

/// How the platform fails to answer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It answers 503 and takes no report.
    Down,
    /// It takes no report and never answers.
    Silent,
    /// It takes reports and never answers.
    LosesAnswers,
}

/// A running stand-in for the part of the platform that receives usage reports.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    reports: Arc<Mutex<BTreeMap<u64, Report>>>,
    outage: watch::Sender<Option<Outage>>,
    _stop: watch::Sender<bool>,
}

impl Platform {
    /// Starts the platform on a free loopback port.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (stop_sender, stop) = watch::channel(false);
        let address = listener.local_addr()?;
        let platform = Self {
            address,
            reports: Arc::default(),
            outage: watch::Sender::new(None),
            _stop: stop_sender,
        };
        let serving = platform.clone();
        let server = Server { inbound: Inbound::default(), stop };
        tokio::spawn(serve(server, listener, move |request| serving.clone().handle(request)));
        Ok(platform)
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.outage.send_replace(outage);
    }

    /// Returns the reports by the number of their window.
    pub fn reports(&self) -> BTreeMap<u64, Report> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of requests of a team that were reported over all windows.
    pub fn requests(&self, team: &str) -> u64 {
        let reports = self.reports();
        reports.values().filter_map(|report| report.counts[team].as_u64()).sum()
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let outage = *self.outage.borrow();
        match outage {
            Some(Outage::Down) => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                return response;
            }
            Some(Outage::Silent) => future::pending().await,
            Some(Outage::LosesAnswers) | None => {}
        }
        let response = self.take(request).await;
        if outage == Some(Outage::LosesAnswers) {
            future::pending::<()>().await;
        }
        response
    }

    /// Takes a report.
    async fn take(&self, request: Request<Incoming>) -> Response<Body> {
        let body = collect(request.into_body(), 1 << 20).await.unwrap_or_default();
        let report: Value = serde_json::from_slice(&body).unwrap_or_default();
        let mut response = Response::new(empty());
        let Some(window) = report["window_id"].as_u64() else {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        let counts = report["counts"].clone();
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Report { counts: counts.clone(), received: 0, is_contradicted: false };
        let first = reports.entry(window).or_insert_with(new);
        first.received += 1;
        first.is_contradicted |= first.counts != counts;
        response
    }
}
