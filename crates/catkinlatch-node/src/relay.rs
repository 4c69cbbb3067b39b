//! Relaying of connections to targets between nodes.

use crate::{Clock, Node, Settings, peer::Peers};
use catkinlatch_route::{Table, reach::Helper};
use catkinlatch_runtime::{
    http::{Dialer, dialer::Connect},
    relay::{self, Answer},
};
use std::sync::{Arc, Mutex, PoisonError};

/// The most connections that this node relays at once; each takes two descriptors and buffers of
/// tens of kilobytes.
const MAX_TUNNELS: usize = 128;

/// Creates the dialer for connections to targets, which knows the targets from `table`.
pub fn dialer(
    settings: &Settings,
    peers: &Peers,
    clock: Clock,
    connect: Connect,
    table: &Arc<Mutex<Table>>,
) -> Dialer {
    let others = settings.peers.iter().filter(|peer| peer.host != settings.host);
    let candidates: Vec<(Helper, String)> = others
        .map(|peer| {
            let (host, zone) = (peer.host.clone(), Some(peer.zone.clone()));
            (Helper { host, zone, is_reserve: false }, peer.peer_address.clone())
        })
        .collect();
    let (local, secret) = (peers.local().clone(), peers.secret().clone());
    let client = relay::Client::new(local, secret, clock, move || candidates.clone());
    let known = table.clone();
    let targets = move || addresses(&known.lock().unwrap_or_else(PoisonError::into_inner));
    Dialer::new(connect, clock, client, targets)
}

/// Creates the server that relays connections for other nodes to known targets.
pub fn server(node: &Arc<Node>) -> relay::Server {
    let (node, dialer) = (node.clone(), node.dialer.clone());
    relay::Server::new(dialer, MAX_TUNNELS, move |address| {
        if node.is_draining() {
            return Some(Answer::Draining);
        }
        let is_known = addresses(&node.table()).iter().any(|known| known == address);
        (!is_known).then_some(Answer::UnknownTarget)
    })
}

fn addresses(table: &Table) -> Vec<String> {
    table.entries().map(|(_, entry)| entry.announcement.address.clone()).collect()
}
