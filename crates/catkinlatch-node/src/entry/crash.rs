//! Targets that may have crashed, until they announce themselves again.

use super::attempt;
use crate::Node;
use catkinlatch_base::{BootId, TargetId};
use catkinlatch_state::suspect::{self, Change};

/// The starts of targets whose connections broke recently.
pub type Watch = suspect::Watch<(TargetId, BootId)>;

/// Withdraws the crash records of targets that are still running.
pub async fn clear_survivors(node: &Node) {
    let now = node.clock.now();
    let survivors = node.admission.with_watch(|watch| {
        let table = node.table();
        let last_heard = |(target, boot): &(TargetId, BootId)| {
            let mut entries = table.entries().map(|(_, entry)| entry);
            let entry = entries
                .find(|entry| entry.announcement.id == *target && entry.announcement.boot == *boot);
            entry.map(|entry| entry.renewed)
        };
        watch.take_survivors(now, last_heard)
    });
    for disconnect in survivors {
        let change = Change::Survived { boot: disconnect.start.1.clone() };
        if attempt::propose_suspect(node, change).await.is_none() {
            node.admission.with_watch(|watch| watch.add(disconnect));
        }
    }
}

/// Expires suspects whose last crash is long ago; only the leader proposes this.
pub async fn expire_suspects(node: &Node) {
    let now_ms = node.clock.wall_ms();
    if node.control.leading_term().is_some() && node.control.state().suspects().has_due(now_ms) {
        attempt::propose_suspect(node, Change::Expire { now_ms }).await;
    }
}
