//! A stand-in platform that executes orders to start and stop targets, lists targets and receives
//! usage reports.

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

/// The state that the platform shares with its handlers.
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
    /// Starts a platform that refuses old fencing tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't listen on the address.
    pub async fn start(listen: SocketAddr) -> Result<Self, String> {
        Self::start_with(listen, Market::new(true), Reports::new(true)).await
    }

    /// Starts a platform with a given state of targets and reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't listen on the address.
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

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Queues a fault; each order or report that is received takes one from the queue.
    pub fn fail_next(&self, fault: Fault) {
        lock(&self.shared.faults).push_back(fault);
    }

    /// Returns the usage reports that were accepted, in order.
    pub fn reports(&self) -> Vec<Report> {
        lock(&self.shared.reports).accepted().to_vec()
    }

    /// Returns the number of reports that differed from the accepted one of their window.
    pub fn conflicts(&self) -> usize {
        lock(&self.shared.reports).conflicts()
    }

    /// Returns the orders that were received, in order, including repeated ones.
    pub fn orders(&self) -> Vec<Handled> {
        lock(&self.shared.market).handled().to_vec()
    }

    /// Returns the running targets.
    pub fn targets(&self) -> Vec<Run> {
        lock(&self.shared.market).running().cloned().collect()
    }

    /// Sets whether targets of a price class can be started in a zone.
    pub fn set_available(&self, zone: &ZoneId, price_class: &str, is_available: bool) {
        lock(&self.shared.market).set_available(zone, price_class, is_available);
    }

    /// Announces that all targets of a zone and price class will be reclaimed after this time, in
    /// milliseconds.
    pub fn give_notice(&self, zone: &ZoneId, price_class: &str, reclaim_in_ms: u64) {
        lock(&self.shared.market).give_notice(zone, price_class, reclaim_in_ms);
    }

    /// Reclaims all targets of a zone and price class at once.
    pub fn reclaim(&self, zone: &ZoneId, price_class: &str) {
        lock(&self.shared.market).reclaim(zone, price_class);
    }

    /// Stops the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the server did not shut down regularly.
    pub async fn stop(self) -> Result<(), String> {
        self.server.close().await
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
