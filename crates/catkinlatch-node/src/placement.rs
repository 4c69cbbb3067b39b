//! Starts and stops targets on demand, and routes no new work to draining targets.

mod demand;
mod list;
mod placer;
mod pool;
mod view;

use crate::Node;
use catkinlatch_base::TargetId;
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::{task::JoinSet, time};

/// The pause between two rounds of placement on the leader.
const PLACEMENT_INTERVAL: Duration = Duration::from_secs(2);

/// Spawns the placement tasks.
pub fn spawn(node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    tasks.spawn(withdraw_draining_targets(node.clone()));
    tasks.spawn(run_placement(node.clone()));
}

/// Returns whether a target is draining and must get no new work.
pub fn is_draining(node: &Node, target: &TargetId) -> bool {
    node.control.state().orders().billing_periods().is_draining(target)
}

/// Removes targets from this node's table once the committed state marks them as draining.
async fn withdraw_draining_targets(node: Arc<Node>) {
    let mut changes = node.control.changes();
    while changes.changed().await.is_ok() {
        let state = node.control.state();
        for (target, period) in state.orders().billing_periods().running() {
            if period.draining_ms.is_some() && withdraw(&node, target) {
                info!("placement: removed draining target {target} from the table");
            }
        }
    }
}

/// Removes a target from this node's table; returns whether it was present.
fn withdraw(node: &Node, target: &TargetId) -> bool {
    let mut table = node.table();
    let found = table.entries().find(|(_, entry)| entry.announcement.id == *target);
    let Some(boot) = found.map(|(_, entry)| entry.announcement.boot.clone()) else { return false };
    table.withdraw(target, &boot);
    true
}

/// Runs rounds of placement while this node leads. Returns at once if no platform is configured.
async fn run_placement(node: Arc<Node>) {
    if node.settings.platform.is_none() {
        return;
    }
    let mut placer = placer::Placer::default();
    loop {
        time::sleep(PLACEMENT_INTERVAL).await;
        match node.control.leading_term() {
            Some(term) => placer.run_round(&node, term).await,
            None => placer = placer::Placer::default(),
        }
    }
}
