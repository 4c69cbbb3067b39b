//! The entry addresses that callers may use.

use crate::Node;
use catkinlatch_base::{ZoneId, derive_schema};
use std::net::SocketAddr;

/// Weight of an address in the zone of the node that answers.
const SAME_ZONE_WEIGHT: u32 = 4;

/// Weight of an address in another zone.
const OTHER_ZONE_WEIGHT: u32 = 1;

derive_schema! {
    /// An entry address for callers.
    pub struct Address {
        /// The address, as `host:port`.
        pub address: String,
        /// The availability zone of the address.
        pub zone: ZoneId,
        /// The share of a caller's traffic that should go there, relative to the weights of the
        /// other addresses.
        pub weight: u32,
    }
}

/// Returns the addresses of nodes that callers may use, those in this node's zone first.
///
/// Draining and unreachable nodes are left out, and so is this node while its configuration may be
/// outdated.
pub fn list(node: &Node, local: SocketAddr) -> Vec<Address> {
    let now = node.clock.now();
    let mut addresses = Vec::new();
    if node.is_ready() {
        let own = node.settings.peers.iter().find(|peer| peer.host == node.settings.host);
        let address = own.map_or_else(|| local.to_string(), |peer| peer.advertise.clone());
        let zone = node.settings.zone.clone();
        addresses.push(Address { address, zone, weight: SAME_ZONE_WEIGHT });
    }
    let serves = |host| node.peers.is_connected(host) && !node.admission.is_draining(host, now);
    for peer in node.settings.peers.iter().filter(|peer| serves(&peer.host)) {
        let weight =
            if peer.zone == node.settings.zone { SAME_ZONE_WEIGHT } else { OTHER_ZONE_WEIGHT };
        let (address, zone) = (peer.advertise.clone(), peer.zone.clone());
        addresses.push(Address { address, zone, weight });
    }
    addresses.sort_by_key(|address| std::cmp::Reverse(address.weight));
    addresses
}
