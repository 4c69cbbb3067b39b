//! Usage accounting: nodes count what teams use, the leader closes usage windows in the control log
//! and reports them to the platform.

mod api;
mod close;
mod handover;
mod report;
mod view;

pub use self::{
    api::register,
    close::close_window,
    handover::{Handover, store_counters},
    report::report_bytes,
    view::View,
};

use crate::Node;
use catkinlatch_base::{HostId, Incarnation, WindowId, random};
use catkinlatch_fleet::{Meter, usage::Replicas};
use catkinlatch_state::{Command, window};
use log::warn;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// The pause between two checks of the usage windows.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The usage counters of this node, and those that it stores for other nodes.
#[derive(Debug)]
pub struct Usage {
    /// Identifies these counters. Generated at each start, because the counters then start at zero.
    pub incarnation: Incarnation,
    meter: Mutex<Meter>,
    replicas: Mutex<Replicas>,
}

impl Usage {
    /// Creates empty counters with a new incarnation for the node on `host`.
    pub fn new(host: HostId) -> Self {
        Self {
            incarnation: Incarnation::generate(&mut random::generator()),
            meter: Mutex::default(),
            replicas: Mutex::new(Replicas::new(host)),
        }
    }

    /// Locks this node's own counters.
    pub fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the counters stored for other nodes.
    pub fn replicas(&self) -> MutexGuard<'_, Replicas> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the usage window that contains a time.
///
/// Both arguments are in milliseconds: the time since the Unix epoch and the length of a window.
pub fn window_at(wall_ms: u64, window_ms: u64) -> WindowId {
    WindowId::new(wall_ms / window_ms.max(1))
}

/// Spawns the tasks that enroll this node, replicate its counters, and close and report windows.
pub fn spawn(node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    tasks.spawn(maintain_enrollment(node.clone()));
    tasks.spawn(handover::hand_over(node.clone()));
    tasks.spawn(close::close_windows(node.clone()));
    tasks.spawn(report::report_windows(node.clone()));
}

/// Returns the window that is open now, by this node's wall clock.
fn current_window(node: &Node) -> WindowId {
    window_at(node.clock.wall_ms(), node.settings.usage_window_ms)
}

/// Keeps this node enrolled, and drops counters that closed windows account for. Never returns.
async fn maintain_enrollment(node: Arc<Node>) {
    loop {
        let state = node.control.state();
        let source = state.windows().sources().get(&node.usage.incarnation);
        if source.is_none_or(|source| source.is_gone) {
            enroll(&node).await;
        }
        if let Some(through) = source.and_then(|source| source.settled_through) {
            node.usage.meter().prune(through);
        }
        node.usage.replicas().prune(state.windows());
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Enrolls this node's counters, so that no window closes without them.
async fn enroll(node: &Node) {
    let (host, incarnation) = (node.settings.host.clone(), node.usage.incarnation);
    let change = window::Change::Enroll { host, incarnation, from: current_window(node) };
    if let Err(error) = node.control.propose(Command::Window(change)).await {
        warn!("usage: enrollment of this node was not confirmed: {error}");
    }
}
