//! What callers, trainers and operators share.

use super::record::Record;
use crate::site::{self, Engine, Service, Site};
use bytes::Bytes;
use catkinlatch_runtime::http::{Client, Exchange, full};
use http::{Request, Response};
use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// The most bytes of an answer.
const ANSWER_BYTES: usize = 64 << 20;

/// What callers, trainers and operators share.
#[derive(Debug)]
pub struct World {
    /// Where callers connect.
    pub callers: Vec<String>,
    /// Where operators and trainers name versions and configurations.
    pub controls: Vec<String>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The services.
    pub services: Vec<Service>,
    client: Client,
    record: Mutex<Record>,
    stops: AtomicBool,
}

impl World {
    /// Creates the world around a site.
    pub fn new(site: &Site, engines: Vec<Engine>, services: Vec<Service>) -> Self {
        let address = |port: u16| move |host: &crate::site::Host| host.address(port);
        Self {
            callers: site.entries().iter().map(address(site.ports.callers)).collect(),
            controls: site.stores().iter().map(address(site.ports.control)).collect(),
            engines,
            services,
            client: Client::new(),
            record: Mutex::default(),
            stops: AtomicBool::new(false),
        }
    }

    /// Tells all to end what they do.
    pub fn stop(&self) {
        self.stops.store(true, Ordering::Relaxed);
    }

    /// Returns whether all are to end what they do.
    pub fn stops(&self) -> bool {
        self.stops.load(Ordering::Relaxed)
    }

    /// Locks what was seen.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request of the team to an entry host, and returns the head of the answer.
    pub async fn open(
        &self,
        random: &mut fastrand::Rng,
        (method, path): (&str, &str),
        id: &str,
        body: &str,
    ) -> Option<Exchange> {
        let request = site::request(method, path, id, PATIENCE).header("wait-ms", "200");
        let request = request.body(full(body.to_owned())).ok()?;
        let address = &self.callers[random.usize(..self.callers.len())];
        time::timeout(PATIENCE, self.client.send_new(address, request)).await.ok()?.ok()
    }

    /// Sends a request of the team to an entry host, and returns its whole answer.
    pub async fn ask(
        &self,
        random: &mut fastrand::Rng,
        call: (&str, &str),
        id: &str,
        body: &str,
    ) -> Option<Response<Bytes>> {
        let exchange = self.open(random, call, id, body).await?;
        time::timeout(PATIENCE, exchange.read_body(ANSWER_BYTES)).await.ok()?.ok()
    }

    /// Sends a call to a control host, and returns its whole answer.
    pub async fn control(
        &self,
        random: &mut fastrand::Rng,
        (method, path): (&str, &str),
        body: &str,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder().method(method).uri(path).header("host", "control");
        let request = request.body(full(body.to_owned())).ok()?;
        let address = &self.controls[random.usize(..self.controls.len())];
        let exchange = time::timeout(PATIENCE, self.client.send_new(address, request));
        let exchange = exchange.await.ok()?.ok()?;
        time::timeout(PATIENCE, exchange.read_body(ANSWER_BYTES)).await.ok()?.ok()
    }
}
