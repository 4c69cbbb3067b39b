//! Relaying of connections to targets between this host and entry hosts.

use crate::{host::Host, soft_state::SoftState};
use catkinlatch_runtime::{
    Clock, Peers, Settings,
    http::{Dialer, dialer::Connect},
    relay::{self, Answer},
};
use std::sync::{Arc, Mutex, PoisonError};

/// The most connections that this host relays at once: few, since the whole system depends on it.
const MAX_TUNNELS: usize = 32;

/// Creates the dialer for items, scoring calls and reports of targets, which other hosts may relay.
/// Orders never use it: each must come from the host that holds the duty.
pub fn dialer(
    settings: &Settings,
    clock: Clock,
    peers: &Peers,
    connect: Connect,
    soft_state: &Arc<Mutex<SoftState>>,
) -> Dialer {
    let (known, port) = (soft_state.clone(), settings.peer_port);
    let candidates = move || {
        let soft = known.lock().unwrap_or_else(PoisonError::into_inner);
        relay::candidates(soft.entries(), soft.stores().map(|(host, _)| host), port)
    };
    let (local, secret) = (peers.local().clone(), peers.secret().clone());
    let relay = relay::Client::new(local, secret, clock, candidates);
    let known = soft_state.clone();
    let targets = move || {
        let soft = known.lock().unwrap_or_else(PoisonError::into_inner);
        let ready = soft.registry.targets().filter(|target| target.is_ready());
        ready.map(|target| target.address.clone()).collect()
    };
    Dialer::new(connect, clock, relay, targets)
}

/// Creates the server that relays connections for other hosts to known targets.
pub fn server(host: &Arc<Host>) -> relay::Server {
    let (host, dialer) = (host.clone(), host.dialer.clone());
    relay::Server::new(dialer, MAX_TUNNELS, move |address| {
        let soft = host.soft_state();
        let is_known = soft.registry.targets().any(|target| target.address == address);
        (!is_known).then_some(Answer::UnknownTarget)
    })
}
