//! The role of hosts with a disk: they keep the replicated state, and the one that leads runs batch
//! jobs, brings weights to engines and reports usage.

mod control;
mod follow;
mod handler;
mod host;
mod janitor;
mod lead;
mod run;
mod runner;
mod score;
mod shared;
mod soft;
mod usage;
mod weights;
mod work;

use self::host::Host;
use catkinlatch_runtime::{
    Clock, Guide, Peers, Replica, Settings,
    http::{Client, Server, serve},
    replica,
};
use derive_more::{Display, Error, From};
use log::info;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::watch};

/// How long a process that stops still answers what it has read.
const STOP_TIME: Duration = Duration::from_millis(700);

/// How long a connection of a target or operator may wait for its next call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Says why the process cannot run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A port cannot be opened.
    #[display("cannot listen: {_0}")]
    Listen(io::Error),
    /// The data folder cannot be used.
    #[display("{_0}")]
    Storage(catkinlatch_log::storage::OpenError),
    /// A setting is missing.
    #[display("the settings name no {_0}")]
    #[from(ignore)]
    Missing(#[error(not(source))] &'static str),
}

/// Runs the role until `stop` becomes true.
///
/// # Errors
///
/// Returns why the process cannot run.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), Error> {
    let folder = settings.data_folder.as_ref().ok_or(Error::Missing("data_folder"))?;
    let control = settings.control_address.ok_or(Error::Missing("control_address"))?;
    let opened = replica::open(folder)?;
    let clock = Clock::new();
    let peers = Arc::new(Peers::new(&settings));
    let replica = Replica::start(&settings, clock, peers.clone(), opened);
    let guide = Guide::new(peers.clone(), settings.seed_hosts());
    let host = Arc::new(Host::new(settings, clock, peers, replica, guide, Client::new()));

    let peer_address = SocketAddr::new(control.ip(), host.settings.peer_port);
    tokio::spawn(handler::serve(host.clone(), TcpListener::bind(peer_address).await?));
    let server = Server { idle_timeout: IDLE_TIMEOUT, stop: stop.clone() };
    let listener = TcpListener::bind(control).await?;
    tokio::spawn(serve(server, listener, control::handler(host.clone())));
    tokio::spawn(follow::run(host.clone()));
    let lead = tokio::spawn(lead::run(host.clone()));
    info!(name = host.settings.name.as_str(), control:% = control; "store: started");

    let _ = stop.wait_for(|stop| *stop).await;
    info!("store: stopping");
    lead.abort();
    tokio::time::sleep(STOP_TIME).await;
    Ok(())
}
