//! The entry role, run by the hosts that callers connect to: proxies live requests to targets and
//! submits batch jobs to the leader.

mod admission;
mod allowance;
mod answer;
pub mod arrival;
mod attempt;
mod batch;
mod build;
pub mod contact;
mod directory;
mod drain;
mod exchange;
mod follow;
mod front;
mod host;
mod leaving;
mod observation;
mod probe;
mod proxy;
mod ready;
mod relay;
mod second;
mod stream;
pub mod suspect;
mod usage;
mod view;

use self::host::Host;
use catkinlatch_base::HostId;
use catkinlatch_platform::header;
use catkinlatch_runtime::{
    Clock, LeaderClient, Peers, Settings,
    http::{
        Client, Inbound, Limits, Server,
        dialer::{self, Connect},
        inbound, serve,
    },
    metric,
};
use derive_more::{Display, Error, From};
use log::info;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::{net::TcpListener, sync::watch, time};

/// Share of the shutdown grace period in which the process still accepts requests: callers cache
/// its address for a while after the directory has dropped it.
const SERVING_SHARE: f64 = 0.72;

/// Share of the shutdown grace period after which the process stops, even with requests in flight.
const STOP_SHARE: f64 = 0.95;

/// Reason why the role cannot run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address cannot be listened on.
    #[display("cannot listen: {_0}")]
    Listen(io::Error),
    /// A required setting is missing; holds its name.
    #[display("missing setting: {_0}")]
    #[from(ignore)]
    Missing(#[error(not(source))] &'static str),
}

/// Runs the role until `stop` becomes true, then drains: returns once the requests in flight have
/// ended, or shortly before the shutdown grace period is over.
///
/// # Errors
///
/// Returns an error if a required setting is missing or an address cannot be listened on.
pub async fn run(
    settings: Settings,
    seeds: watch::Receiver<Vec<HostId>>,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    start(settings, dialer::tcp(false), seeds, stop).await
}

/// Like [`run`], but opens connections to targets with `connect`.
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
    let callers = settings.callers_address.ok_or(Error::Missing("callers_address"))?;
    let ready = settings.ready_address.ok_or(Error::Missing("ready_address"))?;
    let clock = Clock::new();
    let peers = Arc::new(Peers::new(&settings));
    let leader_client = LeaderClient::new(peers.clone(), settings.seed_hosts());
    let inbound = Inbound::new(inbound::Limits::new(&settings.resources));
    if let Some(address) = settings.metrics_address {
        tokio::spawn(metric::run(address, inbound.clone(), stop.clone()));
    }
    let limits = Limits::new(settings.resources.memory_mb);
    let view = Arc::new(Mutex::default());
    let dialer = Arc::new(relay::dialer(&settings, clock, &peers, connect, &view));
    let client = Client::new().with_id_header(header::REQUEST_ID);
    let client = client.with_limits(limits).with_dialer(dialer.clone());
    let host = Arc::new(Host::new(settings, clock, peers, leader_client, client, inbound, view));
    let relay_server = Arc::new(relay::server(&host, dialer));
    let address = SocketAddr::new(callers.ip(), host.settings.peer_port);
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(relay::serve(host.clone(), listener, relay_server.clone()));

    let (close, closed) = watch::channel(false);
    let server = Server { inbound: host.inbound.clone(), stop: closed };
    let listener = TcpListener::bind(callers).await?;
    let front = tokio::spawn(serve(server.clone(), listener, front::handler(host.clone())));
    let listener = TcpListener::bind(ready).await?;
    tokio::spawn(serve(server.clone(), listener, ready::handler(host.clone())));
    if let Some(address) = host.settings.directory_address {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(serve(server, listener, directory::handler(host.clone())));
        if host.settings.times.contact_ms.is_some() {
            tokio::spawn(probe::run(host.clone()));
        }
    }
    tokio::spawn(follow::run(host.clone()));
    tokio::spawn(follow_seeds(host.clone(), seeds));
    tokio::spawn(exchange::run(host.clone()));
    let beating = host.clone();
    tokio::spawn(async move { beating.beat().await });
    tokio::spawn(allowance::follow_limits(host.clone()));
    tokio::spawn(suspect::follow(host.clone()));
    info!(name = host.settings.name.as_str(), callers:% = callers; "entry: started");

    let _ = stop.wait_for(|stop| *stop).await;
    let grace = host.settings.times.grace();
    let end = time::Instant::now() + grace.mul_f64(STOP_SHARE);
    host.drain(host.clock.now() + grace.mul_f64(STOP_SHARE));
    info!("entry: draining; still serving callers with a cached address");
    time::sleep(grace.mul_f64(SERVING_SHARE)).await;
    close.send_replace(true);
    let all_ended = time::timeout_at(end, async {
        let _ = front.await;
        relay::ended(&relay_server).await;
    });
    let all_ended = all_ended.await.is_ok();
    drain::log_cut_streams(&host);
    info!(all_ended = all_ended; "entry: stopped");
    Ok(())
}

/// Takes over seeds that change while the process runs.
async fn follow_seeds(host: Arc<Host>, mut seeds: watch::Receiver<Vec<HostId>>) {
    while seeds.changed().await.is_ok() {
        host.leader_client.set_seeds(seeds.borrow_and_update().clone());
    }
}
