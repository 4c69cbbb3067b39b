//! Relaying of connections to targets between entry hosts.

use crate::{host::Host, view::View};
use catkinlatch_runtime::{
    Clock, Peers, Reply, Settings,
    http::{Dialer, dialer::Connect},
    relay::{self, Answer},
};
use catkinlatch_wire::{Frame, Hello, Listener, Offer, codec};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, time};

/// The most connections that this host relays at once; each takes two descriptors and buffers of
/// tens of kilobytes.
const MAX_TUNNELS: usize = 128;

/// Interval at which a stopping host checks whether it still relays connections.
const END_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Creates the dialer for connections to targets, which knows targets and hosts from `view`.
pub fn dialer(
    settings: &Settings,
    clock: Clock,
    peers: &Peers,
    connect: Connect,
    view: &Arc<Mutex<View>>,
) -> Dialer {
    let (known, port) = (view.clone(), settings.peer_port);
    let candidates = move || {
        let view = snapshot(&known);
        relay::candidates(view.entries.iter(), view.stores.iter(), port)
    };
    let (local, secret) = (peers.local().clone(), peers.secret().clone());
    let client = relay::Client::new(local, secret, clock, candidates);
    let known = view.clone();
    let targets = move || {
        let view = snapshot(&known);
        let ready = view.targets.iter().filter(|target| target.is_ready());
        ready.map(|target| target.address.clone()).collect()
    };
    Dialer::new(connect, clock, client, targets)
}

/// Creates the server that relays connections for other hosts to known targets.
pub fn server(host: &Arc<Host>, dialer: Arc<Dialer>) -> relay::Server {
    let host = host.clone();
    relay::Server::new(dialer, MAX_TUNNELS, move |address| {
        if !host.is_ready() {
            return Some(Answer::Draining);
        }
        let view = host.view();
        let is_known = view.targets.iter().any(|target| target.address == address);
        (!is_known).then_some(Answer::UnknownTarget)
    })
}

/// Accepts sessions from other hosts, over which they open tunnels; never returns.
pub async fn serve(host: Arc<Host>, listener: TcpListener, server: Arc<relay::Server>) {
    let (local, secret) = (host.peers.local().clone(), host.peers.secret().clone());
    // Entry hosts handle no messages of others.
    let refuse =
        |_: Hello, _: Frame| async { Some(Frame::new(codec::encode(&Reply::NotLeader(None)))) };
    let tunnels = move |remote: Hello, frame: Frame, offer: Offer| {
        let server = server.clone();
        async move { server.serve(remote, frame, offer).await }
    };
    let listener = Listener::from(listener).with_unauthenticated(host.inbound.sessions());
    catkinlatch_wire::serve_with_tunnels(listener, local, secret, refuse, tunnels).await;
}

/// Waits until no connection is relayed any more.
pub async fn ended(server: &relay::Server) {
    while server.tunnels() > 0 {
        time::sleep(END_POLL_INTERVAL).await;
    }
}

fn snapshot(view: &Mutex<View>) -> View {
    view.lock().unwrap_or_else(PoisonError::into_inner).clone()
}
