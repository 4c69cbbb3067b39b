//! A node: the context shared by its tasks and HTTP handlers, its startup and its shutdown.

use crate::{
    Clock, Control, Drain, Settings, control, entry, evacuation,
    guard::{self, Guard},
    http_log::HttpLog,
    metric, operator, order,
    peer::{self, Peers},
    placement, relay, targets, trainer,
    upstream::Upstream,
    usage::{self, Usage},
};
use catkinlatch_base::{Incarnation, Timeline, event::Kind, random};
use catkinlatch_fleet::{Meter, order::Dispatcher};
use catkinlatch_route::Table;
use catkinlatch_runtime::{
    http::{
        Dialer, Inbound,
        dialer::{self, Connect},
        inbound,
    },
    settings::Resources,
};
use catkinlatch_wire::Listener;
use derive_more::{Display, Error};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, BuildError, ConfigDropshot, HandlerTaskMode,
    HttpServer, ServerBuilder,
};
use slog::Drain as _;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, sync::Notify, task::JoinSet};

/// The longest request body on any route, in bytes.
const MAX_REQUEST_BODY_BYTES: usize = 64 << 20;

/// The context shared by a node's tasks and HTTP handlers.
#[derive(Debug)]
pub struct Node {
    /// The settings that the node was started with.
    pub settings: Settings,
    /// Identifies this start of the process.
    pub incarnation: Incarnation,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The node's clocks.
    pub clock: Clock,
    /// The handle on the control log and the replicated state.
    pub control: Control,
    /// The newest events of this process, up to the number in the settings.
    pub timeline: Arc<Timeline>,
    /// The sessions with the other nodes.
    pub peers: Arc<Peers>,
    /// Calls to the platform.
    pub(crate) upstream: Upstream,
    /// Calls to targets, which other nodes may relay.
    pub(crate) target_upstream: Upstream,
    /// Opens the connections of `target_upstream`, and those that this node relays.
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) trainers: trainer::Coordinators,
    pub(crate) admission: entry::Admission,
    /// Whether the node is draining.
    pub drain: Drain,
    table: Arc<Mutex<Table>>,
    pub(crate) usage: Usage,
    dispatcher: Mutex<Dispatcher>,
    pub(crate) orders_wake: Notify,
}

impl Node {
    /// Records an event in the timeline, stamped with the current time.
    pub fn record(&self, kind: Kind) {
        self.timeline.record(self.clock.wall_ms(), kind);
    }

    /// Returns whether the node is draining, and thus left out of the list of entry addresses.
    pub fn is_draining(&self) -> bool {
        self.drain.has_begun()
    }

    /// Returns whether callers may be directed to this node: it is not draining, and its
    /// configuration lease is valid.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.control.configuration_lease_end().is_some()
    }

    /// Locks the table of targets.
    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the order dispatcher.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the usage counters.
    pub(crate) fn meter(&self) -> MutexGuard<'_, Meter> {
        self.usage.meter()
    }
}

/// Why a node did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The endpoints of an HTTP interface conflict.
    #[display("cannot describe the HTTP interface: {_0}")]
    Describe(ApiDescriptionRegisterError),
    /// The data folder cannot be used.
    #[display("{_0}")]
    Storage(catkinlatch_log::storage::OpenError),
    /// The listener for other nodes cannot be opened.
    #[display("cannot listen for other nodes: {_0}")]
    ListenPeers(io::Error),
    /// The listener for clients cannot be opened.
    #[display("cannot listen: {_0}")]
    ListenClients(io::Error),
    /// An HTTP server did not start.
    #[display("cannot listen: {_0}")]
    Listen(BuildError),
}

/// An HTTP interface, and the listener before it that clients reach.
struct Interface {
    guard: Guard,
    server: HttpServer<Arc<Node>>,
}

/// A running node.
pub struct Server {
    node: Arc<Node>,
    public: Interface,
    operator: Interface,
    tasks: JoinSet<()>,
}

impl Server {
    /// Starts a node; one without peers is ready to serve when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder cannot be used or a port cannot be opened.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        Self::start_with(settings, dialer::tcp(false)).await
    }

    /// Like [`Self::start`], but opens connections to targets with `connect`.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::start`] does.
    pub async fn start_with(settings: Settings, connect: Connect) -> Result<Self, StartError> {
        metric::install();
        let storage = control::open_storage(&settings).map_err(StartError::Storage)?;
        let peer_listener = TcpListener::bind(settings.peer_listen).await;
        let peer_listener = peer_listener.map_err(StartError::ListenPeers)?;
        let inbound = Inbound::new(limits(&settings));
        let peer_listener = Listener::from(peer_listener).with_unauthenticated(inbound.sessions());
        let public = listen(settings.listen).await?;
        let operator = listen(settings.operator_listen).await?;
        let address = public.local_addr().map_err(StartError::ListenClients)?;
        let timeline = Arc::new(Timeline::new(settings.host.clone(), settings.timeline_events));
        let incarnation = Incarnation::generate(&mut random::generator());
        let clock = Clock::new();
        let mut tasks = JoinSet::new();
        let peers = Peers::new(&settings, incarnation, timeline.clone(), clock, &mut tasks);
        let peers = Arc::new(peers);
        let control = Control::start(&settings, clock, peers.clone(), storage, &mut tasks);
        let usage = Usage::new(settings.host.clone());
        let timing = order::timing(&settings);
        let table = Arc::default();
        let dialer = Arc::new(relay::dialer(&settings, &peers, clock, connect, &table));
        let target_upstream = Upstream::new().with_dialer(dialer.clone());
        let node = Arc::new(Node {
            settings,
            incarnation,
            address,
            clock,
            control,
            timeline,
            peers,
            upstream: Upstream::new(),
            target_upstream,
            dialer,
            trainers: trainer::Coordinators::default(),
            admission: entry::Admission::new(),
            drain: Drain::new(),
            table,
            usage,
            dispatcher: Mutex::new(Dispatcher::new(timing)),
            orders_wake: Notify::new(),
        });
        let public = Interface::start(&node, public, public_api()?, &inbound)?;
        let operator = Interface::start(&node, operator, operator_api()?, &inbound)?;
        tasks.spawn(peer::serve(node.clone(), peer_listener));
        tasks.spawn(order::run_orders(node.clone()));
        usage::spawn(&node, &mut tasks);
        placement::spawn(&node, &mut tasks);
        tasks.spawn(trainer::run_samples(node.clone()));
        tasks.spawn(targets::roll_out_weights(node.clone()));
        tasks.spawn(entry::maintain(node.clone()));
        tasks.spawn(evacuation::watch(node.clone()));
        if node.settings.peers.is_empty() {
            node.control.wait_ready().await;
        }
        Ok(Self { node, public, operator, tasks })
    }

    /// Returns the node's shared context.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the local address for callers, trainers and targets.
    pub fn address(&self) -> SocketAddr {
        self.public.guard.address()
    }

    /// Returns the local address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.guard.address()
    }

    /// Drains the node: it leaves the list of entry addresses, keeps serving while callers may
    /// still use its address, and then stops.
    ///
    /// # Errors
    ///
    /// Returns an error if an HTTP server did not shut down cleanly.
    pub async fn drain(self) -> Result<(), String> {
        self.node.drain.begin();
        let time_to_live = Duration::from_millis(self.node.settings.address_time_to_live_ms);
        tokio::time::sleep(time_to_live).await;
        self.stop().await
    }

    /// Finishes the requests in flight and stops.
    ///
    /// # Errors
    ///
    /// Returns an error if an HTTP server did not shut down cleanly.
    pub async fn stop(mut self) -> Result<(), String> {
        self.node.drain.begin();
        self.node.drain.wait_quiet().await;
        self.public.close().await?;
        self.operator.close().await?;
        self.tasks.shutdown().await;
        Ok(())
    }
}

/// Returns the HTTP interface for callers, trainers and targets.
pub fn public_api() -> Result<ApiDescription<Arc<Node>>, StartError> {
    let mut api = ApiDescription::new();
    entry::register(&mut api).map_err(StartError::Describe)?;
    targets::register(&mut api).map_err(StartError::Describe)?;
    trainer::register(&mut api).map_err(StartError::Describe)?;
    Ok(api)
}

/// Returns the HTTP interface for operators.
pub fn operator_api() -> Result<ApiDescription<Arc<Node>>, StartError> {
    let mut api = ApiDescription::new();
    operator::register(&mut api).map_err(StartError::Describe)?;
    usage::register(&mut api).map_err(StartError::Describe)?;
    Ok(api)
}

/// Returns the limits on what all clients of a node hold.
fn limits(settings: &Settings) -> inbound::Limits {
    let Settings { memory_mb, descriptors, .. } = *settings;
    let limits =
        inbound::Limits::new(&Resources { memory_mb, descriptors, ..Resources::default() });
    limits.with_connections_divided_by(guard::DESCRIPTORS_PER_REQUEST)
}

/// Opens a listener for clients.
async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(StartError::ListenClients)
}

impl Interface {
    fn start(
        node: &Arc<Node>,
        listener: TcpListener,
        api: ApiDescription<Arc<Node>>,
        inbound: &Inbound,
    ) -> Result<Self, StartError> {
        let config = ConfigDropshot {
            bind_address: (Ipv4Addr::LOCALHOST, 0).into(),
            default_request_body_max_bytes: MAX_REQUEST_BODY_BYTES,
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(HttpLog.fuse(), slog::o!());
        let server = ServerBuilder::new(api, node.clone(), log).config(config).start();
        let server = server.map_err(StartError::Listen)?;
        let address = server.local_addr();
        let guard = Guard::start(listener, address, MAX_REQUEST_BODY_BYTES, inbound.clone());
        Ok(Self { guard: guard.map_err(StartError::ListenClients)?, server })
    }

    async fn close(self) -> Result<(), String> {
        self.guard.close().await;
        self.server.close().await
    }
}
