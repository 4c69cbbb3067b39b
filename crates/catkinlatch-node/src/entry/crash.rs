//! Targets that may have crashed, until they announce themselves again.

use super::attempt;
use crate::Node;
use catkinlatch_base::{BootId, Instant, TargetId};
use catkinlatch_state::suspect::Change;
use std::{collections::VecDeque, time::Duration};

/// Largest number of targets watched at one time; the oldest is dropped for a new one.
const MAX_WATCHED: usize = 256;

/// An announcement shows that the target is still running only if it arrives more than this long
/// after the connection broke.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Longest time that a target is watched.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// A broken connection to a target that had a request in flight.
#[derive(Clone, Debug)]
pub struct Disconnect {
    target: TargetId,
    boot: BootId,
    since: Instant,
}

/// The targets whose connections broke recently.
#[derive(Debug, Default)]
pub struct Watch {
    disconnects: VecDeque<Disconnect>,
}

impl Watch {
    /// Adds a target, or restarts its watch at `since` if this start of it is watched already.
    pub fn add(&mut self, target: TargetId, boot: BootId, since: Instant) {
        self.disconnects.retain(|disconnect| disconnect.boot != boot);
        if self.disconnects.len() == MAX_WATCHED {
            self.disconnects.pop_front();
        }
        self.disconnects.push_back(Disconnect { target, boot, since });
    }

    /// Removes and returns the targets that announced themselves again, and drops those watched for
    /// longer than [`WATCH_TIME`].
    fn take_survivors(&mut self, node: &Node) -> Vec<Disconnect> {
        let now = node.clock.now();
        let table = node.table();
        let mut survivors = Vec::new();
        self.disconnects.retain(|disconnect| {
            let has_announced = table.entries().any(|(_, entry)| {
                entry.announcement.id == disconnect.target
                    && entry.announcement.boot == disconnect.boot
                    && entry.renewed > disconnect.since + SETTLE_TIME
            });
            if has_announced {
                survivors.push(disconnect.clone());
            }
            !has_announced && now.saturating_duration_since(disconnect.since) < WATCH_TIME
        });
        survivors
    }
}

/// Withdraws the crash records of targets that are still running.
pub async fn clear_survivors(node: &Node) {
    let survivors = node.admission.with_watch(|watch| watch.take_survivors(node));
    for disconnect in survivors {
        let change = Change::Survived { boot: disconnect.boot.clone() };
        if attempt::propose_suspect(node, change).await.is_none() {
            node.admission.watch_target(disconnect.target, disconnect.boot, disconnect.since);
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
