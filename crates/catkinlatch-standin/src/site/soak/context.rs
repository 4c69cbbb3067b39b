//! State that callers, trainers, the operator and the fault injection share.

use super::record::Record;
use crate::site::{self, Engine, Flood, Service, Site};
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

/// How long a caller waits for a response, and for its body.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Size limit of a response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// State that callers, trainers, the operator and the fault injection share.
#[derive(Debug)]
pub struct Context {
    /// The addresses of entry hosts for callers.
    pub callers: Vec<String>,
    /// The addresses of store hosts for versions and configurations.
    pub controls: Vec<String>,
    /// The stand-in engines.
    pub engines: Vec<Engine>,
    /// The stand-in services.
    pub services: Vec<Service>,
    /// Targets that answer without end while they have a fault: a service, then an engine.
    pub floods: Vec<Flood>,
    client: Client,
    record: Mutex<Record>,
    is_stopping: AtomicBool,
}

impl Context {
    /// Creates the shared state of the tasks that use `site`.
    pub fn new(
        site: &Site,
        engines: Vec<Engine>,
        services: Vec<Service>,
        floods: Vec<Flood>,
    ) -> Self {
        let address = |port: u16| move |host: &crate::site::Host| host.address(port);
        Self {
            callers: site.entries().iter().map(address(site.ports.callers)).collect(),
            controls: site.stores().iter().map(address(site.ports.control)).collect(),
            engines,
            services,
            floods,
            client: Client::new(),
            record: Mutex::default(),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Asks all tasks to end.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether all tasks should end.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Locks the record of the test.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request of the team to a random entry host and returns the response without having
    /// read the body, or `None` on an error or timeout.
    pub async fn open(
        &self,
        random: &mut fastrand::Rng,
        (method, path): (&str, &str),
        id: &str,
        body: &str,
    ) -> Option<Exchange> {
        self.open_with(random, (method, path), id, body, &[]).await
    }

    /// Like [`Self::open`], with further headers.
    pub async fn open_with(
        &self,
        random: &mut fastrand::Rng,
        (method, path): (&str, &str),
        id: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Option<Exchange> {
        let entry = random.usize(..self.callers.len());
        self.open_at(entry, (method, path), id, body, headers).await
    }

    /// Like [`Self::open_with`], but sends the request to the given entry host.
    pub async fn open_at(
        &self,
        entry: usize,
        (method, path): (&str, &str),
        id: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Option<Exchange> {
        let request = site::request(method, path, id, CALL_TIMEOUT).header("wait-ms", "200");
        let request =
            headers.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        let request = request.body(full(body.to_owned())).ok()?;
        let address = &self.callers[entry];
        time::timeout(CALL_TIMEOUT, self.client.send_new(address, request)).await.ok()?.ok()
    }

    /// Sends a request of the team to a random entry host and returns the complete response, or
    /// `None` on an error or timeout.
    pub async fn fetch(
        &self,
        random: &mut fastrand::Rng,
        call: (&str, &str),
        id: &str,
        body: &str,
    ) -> Option<Response<Bytes>> {
        read_body(self.open(random, call, id, body).await?).await
    }

    /// Sends a request of the team to the given entry host and returns the complete response, or
    /// `None` on an error or timeout.
    pub async fn fetch_at(
        &self,
        entry: usize,
        call: (&str, &str),
        id: &str,
        body: &str,
    ) -> Option<Response<Bytes>> {
        read_body(self.open_at(entry, call, id, body, &[]).await?).await
    }

    /// Sends a control request to a random store host and returns the complete response, or
    /// `None` on an error or timeout.
    pub async fn control(
        &self,
        random: &mut fastrand::Rng,
        (method, path): (&str, &str),
        body: &str,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder().method(method).uri(path).header("host", "control");
        let request = request.body(full(body.to_owned())).ok()?;
        let address = &self.controls[random.usize(..self.controls.len())];
        let exchange = time::timeout(CALL_TIMEOUT, self.client.send_new(address, request));
        read_body(exchange.await.ok()?.ok()?).await
    }
}

async fn read_body(exchange: Exchange) -> Option<Response<Bytes>> {
    time::timeout(CALL_TIMEOUT, exchange.read_body(MAX_ANSWER_BYTES)).await.ok()?.ok()
}
