//! Targets that may have crashed, until they are heard again.

use super::attempt;
use crate::Node;
use catkinlatch_base::{BootId, Instant, TargetId};
use catkinlatch_state::suspect::Change;
use std::{collections::VecDeque, time::Duration};

/// The most targets that are watched at one time.
const MAX_WATCHED: usize = 256;

/// How long after a connection broke an announcement shows that the target lives.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// How long a target is watched.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// A target whose connection broke under a request.
#[derive(Clone, Debug)]
pub struct Disconnect {
    target: TargetId,
    boot: BootId,
    since: Instant,
}

/// The targets whose connections broke lately.
#[derive(Debug, Default)]
pub struct Watch {
    disconnects: VecDeque<Disconnect>,
}

impl Watch {
    /// Adds a target.
    pub fn add(&mut self, target: TargetId, boot: BootId, since: Instant) {
        self.disconnects.retain(|disconnect| disconnect.boot != boot);
        if self.disconnects.len() == MAX_WATCHED {
            self.disconnects.pop_front();
        }
        self.disconnects.push_back(Disconnect { target, boot, since });
    }

    /// Takes the targets that were heard again and forgets those that are gone.
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

/// Clears the suspects of targets that live on.
pub async fn clear_survivors(node: &Node) {
    let survivors = node.admission.with_watch(|watch| watch.take_survivors(node));
    for disconnect in survivors {
        let change = Change::Survived { boot: disconnect.boot.clone() };
        if attempt::propose_suspect(node, change).await.is_none() {
            node.admission.watch_target(disconnect.target, disconnect.boot, disconnect.since);
        }
    }
}

/// Drops suspects that crashed nothing for long; only the leader proposes.
pub async fn expire_suspects(node: &Node) {
    let now_ms = node.clock.wall_ms();
    if node.control.leading().is_some() && node.control.state().suspects().has_due(now_ms) {
        attempt::propose_suspect(node, Change::Expire { now_ms }).await;
    }
}
