//! A stand-in platform: takes orders for targets by zone, lists targets, takes usage reports.

mod api;
mod fault;
mod market;
mod report;

pub use self::{
    fault::Fault,
    market::{Handled, Market, Run},
    report::{Report, Reports, Verdict},
};

use crate::server;
use catkinlatch_base::ZoneId;
use dropshot::{ApiDescription, HttpServer};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// What the platform shares with its handlers.
#[derive(Debug)]
struct Shared {
    market: Mutex<Market>,
    reports: Mutex<Reports>,
    faults: Mutex<VecDeque<Fault>>,
}

/// A running stand-in platform.
pub struct Platform {
    server: HttpServer<Arc<Shared>>,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform that checks fencing numbers.
    pub async fn start(listen: SocketAddr) -> Result<Self, String> {
        Self::start_with(listen, Market::new(true), Reports::new(true)).await
    }

    /// Starts a platform with its own rules for orders and reports.
    pub async fn start_with(
        listen: SocketAddr,
        market: Market,
        reports: Reports,
    ) -> Result<Self, String> {
        let shared = Arc::new(Shared {
            market: Mutex::new(market),
            reports: Mutex::new(reports),
            faults: Mutex::default(),
        });
        let mut description = ApiDescription::new();
        api::register(&mut description).map_err(|error| error.to_string())?;
        let server = server::start(description, shared.clone(), listen)?;
        Ok(Self { server, shared })
    }

    /// Returns where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Adds a fault to the next order or report that has none yet.
    pub fn fail_next(&self, fault: Fault) {
        lock(&self.shared.faults).push_back(fault);
    }

    /// Returns the reports that were taken, in order.
    pub fn reports(&self) -> Vec<Report> {
        lock(&self.shared.reports).taken().to_vec()
    }

    /// Returns how many reports came that differed from one taken before.
    pub fn conflicts(&self) -> usize {
        lock(&self.shared.reports).conflicts()
    }

    /// Returns the orders that came, in order, resends included.
    pub fn orders(&self) -> Vec<Handled> {
        lock(&self.shared.market).handled().to_vec()
    }

    /// Returns the targets that run.
    pub fn targets(&self) -> Vec<Run> {
        lock(&self.shared.market).running().cloned().collect()
    }

    /// Sets whether a zone has targets of a price class to give.
    pub fn set_available(&self, zone: &ZoneId, price_class: &str, is_available: bool) {
        lock(&self.shared.market).set_available(zone, price_class, is_available);
    }

    /// Gives notice that all targets of a zone and price class are taken back.
    pub fn give_notice(&self, zone: &ZoneId, price_class: &str, reclaim_in_ms: u64) {
        lock(&self.shared.market).give_notice(zone, price_class, reclaim_in_ms);
    }

    /// Takes back all targets of a zone and price class.
    pub fn reclaim(&self, zone: &ZoneId, price_class: &str) {
        lock(&self.shared.market).reclaim(zone, price_class);
    }

    /// Stops the platform.
    pub async fn stop(self) -> Result<(), String> {
        self.server.close().await
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
