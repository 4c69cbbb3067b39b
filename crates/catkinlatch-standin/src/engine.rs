//! A stand-in model engine that generates predictable tokens, fails on request, and records what
//! it ran.

mod api;
mod fault;
mod generation;
mod record;
mod swap;

pub use self::{fault::Fault, record::Record, swap::Swap};

use crate::{announce, server, service::boot_id};
use catkinlatch_base::{BootId, ModelId, TargetId, Term, Version, ZoneId};
use catkinlatch_route::{Announcement, target::Role};
use dropshot::{ApiDescription, HttpServer};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot, watch},
    task::JoinHandle,
};

/// The behavior of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// How many requests the engine announces that it runs at the same time.
    pub slots: u32,
    /// Time per token; zero for no delay.
    pub token_time: Duration,
    /// Whether the engine can resume an answer that another engine began.
    pub resumes: bool,
    /// Whether the engine refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// The faults, each with a text; the first whose text occurs in a prompt applies to the
    /// request.
    pub faults: Vec<(String, Fault)>,
    /// How the engine swaps its weights.
    pub swap: Swap,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 8,
            token_time: Duration::from_millis(2),
            resumes: true,
            checks_fencing: true,
            faults: Vec::new(),
            swap: Swap::default(),
        }
    }
}

/// The state that the engine shares with its handlers.
#[derive(Debug)]
pub(crate) struct Shared {
    id: TargetId,
    boot: BootId,
    options: Options,
    crashed: watch::Sender<bool>,
    swapped: Notify,
    inner: Mutex<Inner>,
}

/// The mutable state of the engine.
#[derive(Debug, Default)]
struct Inner {
    version: Version,
    swaps: u32,
    fence: Term,
    records: Vec<Record>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in engine.
pub struct Engine {
    stop: oneshot::Sender<()>,
    server: JoinHandle<Result<(), String>>,
    shared: Arc<Shared>,
    announcer: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine of `model` that listens on `listen` and announces itself to `nodes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine can't listen on the address.
    pub async fn start(
        id: TargetId,
        model: ModelId,
        zone: ZoneId,
        options: Options,
        listen: SocketAddr,
        nodes: Vec<SocketAddr>,
    ) -> Result<Self, String> {
        let (slots, checks_fencing) = (options.slots, options.checks_fencing);
        let boot = boot_id();
        let shared = Arc::new(Shared {
            id: id.clone(),
            boot: boot.clone(),
            options,
            crashed: watch::Sender::new(false),
            swapped: Notify::new(),
            inner: Mutex::new(Inner::default()),
        });
        let mut description = ApiDescription::new();
        api::register(&mut description).map_err(|error| error.to_string())?;
        let server = server::start(description, shared.clone(), listen)?;
        let announcement = Announcement {
            id,
            boot,
            role: Role::Engine { model, version: Version::default() },
            zone,
            address: server.local_addr().to_string(),
            slots,
            price_class: "full".to_owned(),
            checks_fencing,
        };
        announce::announce(&nodes, &announcement).await;
        let announcer = tokio::spawn(renew(shared.clone(), nodes, announcement));
        let (stop, stopped) = oneshot::channel();
        let server = tokio::spawn(serve(server, shared.clone(), stopped));
        Ok(Self { stop, server, shared, announcer })
    }

    /// Returns the requests that the engine completed, in order of completion.
    pub fn records(&self) -> Vec<Record> {
        self.shared.lock().records.clone()
    }

    /// Returns the version of the loaded weights.
    pub fn version(&self) -> Version {
        self.shared.lock().version
    }

    /// Returns whether a request crashed the engine.
    pub fn has_crashed(&self) -> bool {
        *self.shared.crashed.borrow()
    }

    /// Stops the engine and its announcements.
    ///
    /// # Errors
    ///
    /// Returns an error if the server did not shut down regularly.
    pub async fn stop(self) -> Result<(), String> {
        self.announcer.abort();
        drop(self.stop);
        self.server.await.map_err(|error| error.to_string())?
    }
}

/// Serves until the engine is stopped or crashes.
async fn serve(
    server: HttpServer<Arc<Shared>>,
    shared: Arc<Shared>,
    stopped: oneshot::Receiver<()>,
) -> Result<(), String> {
    let mut crashed = shared.crashed.subscribe();
    tokio::select! {
        _ = stopped => {}
        _ = crashed.wait_for(|crashed| *crashed) => {}
    }
    server.close().await
}

/// Repeats the announcement with the loaded version, periodically and after each swap, until the
/// engine crashes.
async fn renew(shared: Arc<Shared>, nodes: Vec<SocketAddr>, mut announcement: Announcement) {
    while !*shared.crashed.borrow() {
        let _ = tokio::time::timeout(announce::INTERVAL, shared.swapped.notified()).await;
        if let Role::Engine { version, .. } = &mut announcement.role {
            *version = shared.lock().version;
        }
        announce::announce(&nodes, &announcement).await;
    }
}
