//! The role of hosts that callers connect to: they pass live requests on to targets, and take
//! batch jobs for the hosts that keep them.

mod answer;
mod attempt;
mod batch;
mod directory;
mod follow;
mod front;
mod host;
mod proxy;
mod ready;
mod stream;
mod usage;
mod view;

use self::host::Host;
use catkinlatch_runtime::{
    Clock, Guide, Peers, Settings,
    http::{Client, Server, serve},
};
use derive_more::{Display, Error, From};
use log::info;
use std::{io, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::watch, time};

/// How long a connection may wait for its next request; callers use those that have been idle for
/// up to four fifths of what the configuration says.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);

/// The share of the time until the process must have stopped in which it still takes requests:
/// callers keep addresses for a while after it has left the list.
const SERVING_SHARE: f64 = 0.72;

/// The share of that time after which the process ends, whatever is still under way.
const STOP_SHARE: f64 = 0.95;

/// Says why the process cannot run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A port cannot be opened.
    #[display("cannot listen: {_0}")]
    Listen(io::Error),
    /// A setting is missing.
    #[display("the settings name no {_0}")]
    #[from(ignore)]
    Missing(#[error(not(source))] &'static str),
}

/// Runs the role until `stop` becomes true and what is under way has ended.
///
/// # Errors
///
/// Returns why the process cannot run.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), Error> {
    let callers = settings.callers_address.ok_or(Error::Missing("callers_address"))?;
    let ready = settings.ready_address.ok_or(Error::Missing("ready_address"))?;
    let clock = Clock::new();
    let peers = Arc::new(Peers::new(&settings));
    let guide = Guide::new(peers.clone(), settings.seed_hosts());
    let host = Arc::new(Host::new(settings, clock, peers, guide, Client::new()));

    let (close, closed) = watch::channel(false);
    let server = Server { idle_timeout: IDLE_TIMEOUT, stop: closed };
    let listener = TcpListener::bind(callers).await?;
    let front = tokio::spawn(serve(server.clone(), listener, front::handler(host.clone())));
    let listener = TcpListener::bind(ready).await?;
    tokio::spawn(serve(server.clone(), listener, ready::handler(host.clone())));
    if let Some(address) = host.settings.directory_address {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(serve(server, listener, directory::handler(host.clone())));
    }
    tokio::spawn(follow::run(host.clone()));
    info!(name = host.settings.name.as_str(), callers:% = callers; "entry: started");

    let _ = stop.wait_for(|stop| *stop).await;
    host.drain();
    info!("entry: leaves the list, and serves on for those that still know it");
    let grace = host.settings.times.grace();
    let end = time::Instant::now() + grace.mul_f64(STOP_SHARE);
    time::sleep(grace.mul_f64(SERVING_SHARE)).await;
    close.send_replace(true);
    let all_ended = time::timeout_at(end, front).await.is_ok();
    info!(all_ended = all_ended; "entry: stopped");
    Ok(())
}
