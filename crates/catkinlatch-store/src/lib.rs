//! The role of hosts with a disk. They hold the replicated state; the leader among them runs batch
//! jobs, loads weights onto engines and reports usage.

mod allowance;
pub mod backlog;
pub mod builds;
mod cleanup;
pub mod concurrency;
mod control;
pub mod duty;
mod evacuation;
mod exchange;
mod follow;
mod handler;
mod host;
mod lead;
mod observation;
pub mod pace;
mod patience;
mod places;
pub mod redundancy;
mod relay;
mod run;
mod runner;
mod score;
mod shared;
pub mod soft_state;
pub mod suspect;
mod usage;
pub mod view;
mod weights;
pub mod workload;

use self::host::Host;
use catkinlatch_base::HostId;
use catkinlatch_runtime::{
    Clock, LeaderClient, Peers, Replica, Settings,
    http::{
        Inbound, Limits, Server,
        dialer::{self, Connect},
        inbound, serve,
    },
    metric, replica,
};
use catkinlatch_wire::Listener;
use derive_more::{Display, Error, From};
use log::info;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::watch};

/// How long a stopping process waits for the answers to requests that it has already read.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(550);

/// How long it then continues, to answer those that are still under way.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Number of the largest bodies of control calls that are in memory at once: each takes many times
/// its size while it is decoded, logged and passed on.
const CONTROL_BODIES: usize = 2;

/// The reason why the process cannot run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address cannot be bound.
    #[display("cannot listen: {_0}")]
    Listen(io::Error),
    /// The data folder cannot be used.
    #[display("{_0}")]
    Storage(catkinlatch_log::storage::OpenError),
    /// A required setting is missing; contains its name.
    #[display("missing setting: {_0}")]
    #[from(ignore)]
    Missing(#[error(not(source))] &'static str),
}

/// Runs the role until `stop` becomes true.
///
/// # Errors
///
/// Returns an error if a required setting is missing, the data folder cannot be opened, or an
/// address cannot be bound.
pub async fn run(
    settings: Settings,
    seeds: watch::Receiver<Vec<HostId>>,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    start(settings, dialer::tcp(true), seeds, stop).await
}

/// Like [`run`], but opens connections for items and scoring calls with `connect`.
///
/// # Errors
///
/// Returns an error as [`run`] does.
pub async fn run_with(
    settings: Settings,
    connect: Connect,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let seeds = watch::channel(settings.seed_hosts()).1;
    start(settings, connect, seeds, stop).await
}

async fn start(
    settings: Settings,
    connect: Connect,
    seeds: watch::Receiver<Vec<HostId>>,
    mut stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let folder = settings.data_folder.as_ref().ok_or(Error::Missing("data_folder"))?;
    let control = settings.control_address.ok_or(Error::Missing("control_address"))?;
    let opened = replica::open(folder)?;
    let clock = Clock::new();
    let peers = Arc::new(Peers::new(&settings));
    let replica = Replica::start(&settings, clock, peers.clone(), opened);
    let limits = Limits::new(settings.resources.memory_mb);
    let clients = inbound::Limits::new(&settings.resources);
    let inbound = Inbound::new(clients.with_bytes(CONTROL_BODIES * limits.control_body));
    if let Some(address) = settings.metrics_address {
        tokio::spawn(metric::run(address, inbound.clone(), stop.clone()));
    }
    let leader_client = LeaderClient::new(peers.clone(), settings.seed_hosts());
    let host = Arc::new(Host::new(settings, clock, peers, replica, leader_client, limits, connect));

    let peer_address = SocketAddr::new(control.ip(), host.settings.peer_port);
    let listener = Listener::from(TcpListener::bind(peer_address).await?);
    let listener = listener.with_unauthenticated(inbound.sessions());
    tokio::spawn(handler::serve(host.clone(), listener));
    let (end, ending) = watch::channel(false);
    let server = Server { inbound, stop: stop.clone() };
    let listener = TcpListener::bind(control).await?;
    tokio::spawn(serve(server, listener, control::handler(host.clone(), ending)));
    tokio::spawn(follow::run(host.clone()));
    tokio::spawn(follow::run_suspects(host.clone()));
    let publisher = host.clone();
    tokio::spawn(async move { publisher.publish_gathered().await });
    let publisher = host.clone();
    tokio::spawn(async move { publisher.suspects.run_publisher().await });
    tokio::spawn(view::watch_configuration(host.clone()));
    tokio::spawn(evacuation::watch(host.clone()));
    tokio::spawn(builds::watch(host.clone()));
    tokio::spawn(follow_seeds(host.clone(), seeds));
    let lead = tokio::spawn(lead::run(host.clone()));
    info!(name = host.settings.name.as_str(), control:% = control; "store: started");

    let _ = stop.wait_for(|stop| *stop).await;
    info!("store: stopping");
    lead.abort();
    tokio::time::sleep(SHUTDOWN_GRACE).await;
    end.send_replace(true);
    tokio::time::sleep(LAST_ANSWER_TIME).await;
    Ok(())
}

/// Takes over seeds that change while the process runs.
async fn follow_seeds(host: Arc<Host>, mut seeds: watch::Receiver<Vec<HostId>>) {
    while seeds.changed().await.is_ok() {
        let seeds = seeds.borrow_and_update().clone();
        host.leader_client.set_seeds(seeds.clone());
        host.replica.set_seeds(seeds).await;
    }
}
