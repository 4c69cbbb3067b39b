//! Collects the usage of all hosts for a window, and freezes the window in the control log.

use super::{CHECK_INTERVAL, current_window};
use crate::{
    Node,
    peer::{Message, Reply as PeerReply},
};
use catkinlatch_base::{HostId, WindowId};
use catkinlatch_fleet::usage::{Answer, Closer, Step};
use catkinlatch_state::{
    Command, Reply,
    window::{self, NodeUsage},
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How much longer than the configuration lease the leader waits for an unresponsive host.
///
/// A partitioned host takes no more work once its configuration lease has expired.
const GRACE_MARGIN: Duration = Duration::from_secs(5);

/// How long a host may take to respond.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Closes windows while this node leads. Never returns.
pub async fn close_windows(node: Arc<Node>) {
    let lease = Duration::from_millis(node.settings.configuration_lease_ms);
    let mut closer = Closer::new(lease + GRACE_MARGIN);
    loop {
        if node.control.leading_term().is_none() {
            closer = Closer::new(lease + GRACE_MARGIN);
        } else if step(&node, &mut closer).await {
            continue;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Executes one step of the closer, and returns whether the next one may follow immediately.
async fn step(node: &Node, closer: &mut Closer) -> bool {
    let state = node.control.state();
    let hosts = hosts(node);
    match closer.next(state.windows(), current_window(node), &hosts, node.clock.now()) {
        Step::Idle => false,
        Step::Ask { window, hosts } => {
            let mut any_answered = false;
            for host in hosts {
                if let Some(answer) = request_usage(node, &host, window).await {
                    closer.answered(window, host, answer);
                    any_answered = true;
                }
            }
            any_answered
        }
        Step::Freeze { window, usages } => freeze(node, window, usages).await,
    }
}

/// Returns all hosts that may have counted usage: every configured host, this one first.
fn hosts(node: &Node) -> Vec<HostId> {
    let own = node.settings.host.clone();
    let others = node.settings.peers.iter().map(|peer| peer.host.clone());
    std::iter::once(own.clone()).chain(others.filter(|host| *host != own)).collect()
}

/// Asks a host to close a window on its node and return its own and its stored counters.
async fn request_usage(node: &Node, host: &HostId, window: WindowId) -> Option<Answer> {
    if *host == node.settings.host {
        return Some(close_window(node, window));
    }
    match node.peers.call(host, &Message::CloseUsage(window), ASK_TIMEOUT).await {
        Ok(PeerReply::Usage(answer)) => Some(answer),
        Ok(_) => None,
        Err(error) => {
            info!("usage: still waiting to close window {window}: {error}");
            None
        }
    }
}

/// Closes a window on this node, and returns its own counters and those stored for other nodes.
///
/// Usage recorded later counts toward the next open window.
pub fn close_window(node: &Node, window: WindowId) -> Answer {
    let counts = {
        let mut meter = node.usage.meter();
        meter.close(window);
        meter.counts(window)
    };
    let own = NodeUsage {
        host: node.settings.host.clone(),
        incarnation: node.usage.incarnation,
        spoken_by: None,
        counts,
    };
    Answer { own, held: node.usage.replicas().usages(window) }
}

/// Commits a window to the control log, and returns whether it is frozen.
async fn freeze(node: &Node, id: WindowId, usages: Vec<NodeUsage>) -> bool {
    let Some(term) = node.control.leading_term() else { return false };
    let host = node.settings.host.clone();
    let change = window::Change::Freeze { id, usages, term, host };
    match node.control.propose(Command::Window(change)).await {
        Ok(Reply::Window(window::Reply::Done | window::Reply::Frozen(_))) => {
            info!("usage: closed window {id}");
            true
        }
        Ok(reply) => {
            warn!("usage: window {id} was not closed: {reply:?}");
            false
        }
        Err(error) => {
            warn!("usage: closing of window {id} was not confirmed: {error}");
            false
        }
    }
}
