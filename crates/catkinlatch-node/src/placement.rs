//! Starts and stops targets on demand, and keeps work off those that leave.

mod demand;
mod list;
mod pool;
mod round;
mod view;

use crate::Node;
use catkinlatch_base::TargetId;
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::{task::JoinSet, time};

/// How often the leader looks at the targets.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the tasks.
pub fn spawn(node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    tasks.spawn(keep_off(node.clone()));
    tasks.spawn(place(node.clone()));
}

/// Returns whether a target is to get no new work.
pub fn is_leaving(node: &Node, target: &TargetId) -> bool {
    node.control.state().orders().tenures().is_draining(target)
}

/// Takes targets that leave out of this node's table as soon as the state says so.
async fn keep_off(node: Arc<Node>) {
    let mut changes = node.control.changes();
    while changes.changed().await.is_ok() {
        let state = node.control.state();
        for (target, tenure) in state.orders().tenures().running() {
            if tenure.draining_ms.is_some() && withdraw(&node, target) {
                info!("placement: {target} gets no new work here");
            }
        }
    }
}

/// Takes a target out of this node's table; returns whether it was there.
fn withdraw(node: &Node, target: &TargetId) -> bool {
    let mut table = node.table();
    let found = table.entries().find(|(_, entry)| entry.announcement.id == *target);
    let Some(boot) = found.map(|(_, entry)| entry.announcement.boot.clone()) else { return false };
    table.withdraw(target, &boot);
    true
}

/// Places targets for as long as the node runs and leads.
async fn place(node: Arc<Node>) {
    if node.settings.platform.is_none() {
        return;
    }
    let mut rounds = round::Rounds::default();
    loop {
        time::sleep(ROUND_INTERVAL).await;
        match node.control.leading() {
            Some(term) => rounds.run(&node, term).await,
            None => rounds = round::Rounds::default(),
        }
    }
}
