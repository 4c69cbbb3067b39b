//! Targets that may have crashed, until they are heard again.

use super::running;
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
pub struct Accused {
    target: TargetId,
    boot: BootId,
    since: Instant,
}

/// The targets whose connections broke lately.
#[derive(Debug, Default)]
pub struct Watch {
    accused: VecDeque<Accused>,
}

impl Watch {
    /// Adds a target.
    pub fn add(&mut self, target: TargetId, boot: BootId, since: Instant) {
        self.accused.retain(|accused| accused.boot != boot);
        if self.accused.len() == MAX_WATCHED {
            self.accused.pop_front();
        }
        self.accused.push_back(Accused { target, boot, since });
    }

    /// Takes the targets that were heard again and forgets those that are gone.
    fn take_survivors(&mut self, node: &Node) -> Vec<Accused> {
        let now = node.clock.now();
        let table = node.table();
        let mut survivors = Vec::new();
        self.accused.retain(|accused| {
            let heard = table.entries().any(|(_, entry)| {
                entry.announcement.id == accused.target
                    && entry.announcement.boot == accused.boot
                    && entry.renewed > accused.since + SETTLE_TIME
            });
            if heard {
                survivors.push(accused.clone());
            }
            !heard && now.saturating_duration_since(accused.since) < WATCH_TIME
        });
        survivors
    }
}

/// Clears the suspects of targets that live on.
pub async fn clear_survivors(node: &Node) {
    let survivors = node.admission.with_watch(|watch| watch.take_survivors(node));
    for accused in survivors {
        let change = Change::Survived { boot: accused.boot.clone() };
        if running::propose(node, change).await.is_none() {
            node.admission.accuse(accused.target, accused.boot, accused.since);
        }
    }
}

/// Drops suspects that crashed nothing for long; only the leader proposes.
pub async fn expire(node: &Node) {
    let now_ms = node.clock.wall_ms();
    if node.control.leading().is_some() && node.control.state().suspects().has_due(now_ms) {
        running::propose(node, Change::Expire { now_ms }).await;
    }
}
