//! Replicates this node's usage counters to a second host, preferably in another zone.

use crate::{
    Node,
    peer::{Message, Reply},
};
use catkinlatch_base::{HostId, Incarnation, derive_value};
use catkinlatch_state::window::Count;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// The pause between two handovers, during which changes are batched.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(20);

/// How long the second host may take to respond.
const TIMEOUT: Duration = Duration::from_millis(500);

derive_value! {
    /// Counters that a node replicates to another host.
    pub struct Handover {
        /// The host of the node that counted.
        pub host: HostId,
        /// Identifies the counters: one start of the node.
        pub incarnation: Incarnation,
        /// The counters; cumulative, so that a repeated handover has no effect.
        pub counts: Vec<Count>,
    }
}

/// A host that stores all counters of this node, and the incarnation of its node.
///
/// A holder that restarts gets another incarnation, and is sent all counters again.
#[derive(Clone, PartialEq)]
struct Holder {
    host: HostId,
    incarnation: Option<Incarnation>,
}

/// Replicates counters to the second host. Never returns.
pub async fn hand_over(node: Arc<Node>) {
    let mut holder: Option<Holder> = None;
    loop {
        time::sleep(HANDOVER_INTERVAL).await;
        let second = choose_holder(&node);
        let counts = {
            let mut meter = node.usage.meter();
            let changes = meter.take_changes();
            if second == holder { changes } else { meter.all() }
        };
        let Some(second) = second else {
            holder = None;
            continue;
        };
        if counts.is_empty() {
            continue;
        }
        if send(&node, &second, counts).await {
            holder = Some(second);
        } else {
            warn!(
                "usage: {} did not store this node's counters; resending all of them",
                second.host
            );
            holder = None;
        }
    }
}

/// Stores the counters of another node.
pub fn store_counters(node: &Node, handover: &Handover) {
    node.usage.replicas().merge(&handover.host, handover.incarnation, &handover.counts);
}

/// Returns the connected host that follows this one by name, wrapping around.
///
/// Prefers hosts in other zones.
fn choose_holder(node: &Node) -> Option<Holder> {
    let own = (&node.settings.host, &node.settings.zone);
    let connected = node.peers.hosts().filter(|host| node.peers.is_connected(host));
    let rank =
        |host: &&HostId| (node.peers.zone(host) == Some(own.1), *host < own.0, (*host).clone());
    let host = connected.min_by_key(rank)?.clone();
    let incarnation = node.peers.incarnation(&host);
    Some(Holder { host, incarnation })
}

/// Sends counters to a holder; returns whether it stored them.
async fn send(node: &Node, holder: &Holder, counts: Vec<Count>) -> bool {
    let (host, incarnation) = (node.settings.host.clone(), node.usage.incarnation);
    let message = Message::KeepUsage(Handover { host, incarnation, counts });
    match node.peers.call(&holder.host, &message, TIMEOUT).await {
        Ok(Reply::Nothing) => true,
        Ok(_) => false,
        Err(error) => {
            info!("usage: sending counters failed: {error}");
            false
        }
    }
}
