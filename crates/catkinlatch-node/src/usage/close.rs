//! Collects what hosts say about a window, and freezes it in the log.

use super::{CHECK_INTERVAL, present};
use crate::{
    Node,
    peer::{Message, Reply as PeerReply},
};
use catkinlatch_base::{HostId, WindowId};
use catkinlatch_fleet::usage::{Answer, Closer, Step};
use catkinlatch_state::{
    Command, Reply,
    window::{self, Statement},
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// By how much the grace for a silent host exceeds the configuration lease, after which a host
/// that is cut off takes no more work.
const GRACE_MARGIN: Duration = Duration::from_secs(5);

/// How long a host has to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Closes windows for as long as the node runs and leads.
pub async fn close_windows(node: Arc<Node>) {
    let lease = Duration::from_millis(node.settings.configuration_lease_ms);
    let mut closer = Closer::new(lease + GRACE_MARGIN);
    loop {
        if node.control.leading().is_none() {
            closer = Closer::new(lease + GRACE_MARGIN);
        } else if step(&node, &mut closer).await {
            continue;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Takes one step, and returns whether another one may follow at once.
async fn step(node: &Node, closer: &mut Closer) -> bool {
    let state = node.control.state();
    let hosts = hosts(node);
    match closer.next(state.windows(), present(node), &hosts, node.clock.now()) {
        Step::Idle => false,
        Step::Ask { window, hosts } => {
            let mut heard = false;
            for host in hosts {
                if let Some(answer) = ask(node, &host, window).await {
                    closer.answered(window, host, answer);
                    heard = true;
                }
            }
            heard
        }
        Step::Freeze { window, statements } => freeze(node, window, statements).await,
    }
}

/// Returns all hosts that may have counted usage.
fn hosts(node: &Node) -> Vec<HostId> {
    let own = node.settings.host.clone();
    let others = node.settings.peers.iter().map(|peer| peer.host.clone());
    std::iter::once(own.clone()).chain(others.filter(|host| *host != own)).collect()
}

/// Asks a host what it counted and holds.
async fn ask(node: &Node, host: &HostId, window: WindowId) -> Option<Answer> {
    if *host == node.settings.host {
        return Some(answer(node, window));
    }
    match node.peers.call(host, &Message::CloseUsage(window), ASK_TIMEOUT).await {
        Ok(PeerReply::Usage(answer)) => Some(answer),
        Ok(_) => None,
        Err(error) => {
            info!("usage: window {window} waits: {error}");
            None
        }
    }
}

/// Ends a window on this node, and returns what the node counted and holds.
pub fn answer(node: &Node, window: WindowId) -> Answer {
    let counts = {
        let mut meter = node.usage.meter();
        meter.close(window);
        meter.counts(window)
    };
    let own = Statement {
        host: node.settings.host.clone(),
        incarnation: node.usage.incarnation,
        spoken_by: None,
        counts,
    };
    Answer { own, held: node.usage.book().statements(window) }
}

/// Commits a window, and returns whether it is frozen.
async fn freeze(node: &Node, id: WindowId, statements: Vec<Statement>) -> bool {
    let Some(term) = node.control.leading() else { return false };
    let host = node.settings.host.clone();
    let change = window::Change::Freeze { id, statements, term, host };
    match node.control.propose(Command::Window(change)).await {
        Ok(Reply::Window(window::Reply::Done | window::Reply::Frozen(_))) => {
            info!("usage: window {id} is closed");
            true
        }
        Ok(reply) => {
            warn!("usage: window {id} is not closed: {reply:?}");
            false
        }
        Err(error) => {
            warn!("usage: window {id} is not closed: {error}");
            false
        }
    }
}
