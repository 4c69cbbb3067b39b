//! Hands this node's counters to a second host in another zone.

use crate::{
    Node,
    peer::{Message, Reply},
};
use catkinlatch_base::{HostId, Incarnation, derive_value};
use catkinlatch_state::window::Count;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long counters are gathered before they are handed over.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// How long a second host has to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

derive_value! {
    /// Counters that a node asks another host to hold.
    pub struct Handover {
        /// The node's host.
        pub host: HostId,
        /// Names the counters.
        pub incarnation: Incarnation,
        /// The counters; cumulative, so that a repeat has no effect.
        pub counts: Vec<Count>,
    }
}

/// A host that holds all counters of this node, and which start of its process does.
#[derive(Clone, PartialEq)]
struct Holder {
    host: HostId,
    incarnation: Option<Incarnation>,
}

/// Hands counters over for as long as the node runs.
pub async fn hand_over(node: Arc<Node>) {
    let mut holder: Option<Holder> = None;
    loop {
        time::sleep(BATCH_TIME).await;
        let second = choose(&node);
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
            warn!("usage: {} does not hold this node's counters; all are sent again", second.host);
            holder = None;
        }
    }
}

/// Keeps counters of another node.
pub fn keep(node: &Node, handover: &Handover) {
    node.usage.book().keep(&handover.host, handover.incarnation, &handover.counts);
}

/// Returns the next connected host by name, in another zone if there is one.
fn choose(node: &Node) -> Option<Holder> {
    let own = (&node.settings.host, &node.settings.zone);
    let connected = node.peers.hosts().filter(|host| node.peers.is_connected(host));
    let rank =
        |host: &&HostId| (node.peers.zone(host) == Some(own.1), *host < own.0, (*host).clone());
    let host = connected.min_by_key(rank)?.clone();
    let incarnation = node.peers.incarnation(&host);
    Some(Holder { host, incarnation })
}

async fn send(node: &Node, holder: &Holder, counts: Vec<Count>) -> bool {
    let (host, incarnation) = (node.settings.host.clone(), node.usage.incarnation);
    let message = Message::KeepUsage(Handover { host, incarnation, counts });
    match node.peers.call(&holder.host, &message, TIMEOUT).await {
        Ok(Reply::Nothing) => true,
        Ok(_) => false,
        Err(error) => {
            info!("usage: counters are not handed over: {error}");
            false
        }
    }
}
