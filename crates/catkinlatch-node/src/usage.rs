//! Usage of teams: counted here, closed in the log, reported to the platform.

mod api;
mod close;
mod handover;
mod report;
mod view;

pub use self::{
    api::register,
    close::answer,
    handover::{Handover, keep},
    report::report_bytes,
    view::View,
};

use crate::Node;
use catkinlatch_base::{HostId, Incarnation, WindowId};
use catkinlatch_fleet::{Meter, usage::Book};
use catkinlatch_state::{Command, window};
use log::warn;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// How often a node looks at the windows.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What a node counted, and what it holds for other nodes.
#[derive(Debug)]
pub struct Usage {
    /// Names the counters; drawn at each start, since the counters start at zero then.
    pub incarnation: Incarnation,
    meter: Mutex<Meter>,
    book: Mutex<Book>,
}

impl Usage {
    /// Creates the counters of a node that starts.
    pub fn new(host: HostId) -> Self {
        Self {
            incarnation: Incarnation::draw(&mut fastrand::Rng::new()),
            meter: Mutex::default(),
            book: Mutex::new(Book::new(host)),
        }
    }

    /// Locks the counters of this node.
    pub fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is held for other nodes.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the window that a moment lies in.
pub fn window_at(wall_ms: u64, window_ms: u64) -> WindowId {
    WindowId::new(wall_ms / window_ms.max(1))
}

/// Starts the tasks that count, close and report.
pub fn spawn(node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    tasks.spawn(take_part(node.clone()));
    tasks.spawn(handover::hand_over(node.clone()));
    tasks.spawn(close::close_windows(node.clone()));
    tasks.spawn(report::report_windows(node.clone()));
}

/// Returns the window that is open now by this node's clock.
fn present(node: &Node) -> WindowId {
    window_at(node.clock.wall_ms(), node.settings.usage_window_ms)
}

/// Keeps the node enrolled, and drops counters that are accounted for.
async fn take_part(node: Arc<Node>) {
    loop {
        let state = node.control.state();
        let source = state.windows().sources().get(&node.usage.incarnation);
        if source.is_none_or(|source| source.is_gone) {
            enrol(&node).await;
        }
        if let Some(through) = source.and_then(|source| source.settled_through) {
            node.usage.meter().forget(through);
        }
        node.usage.book().forget(state.windows());
        time::sleep(CHECK_INTERVAL).await;
    }
}

async fn enrol(node: &Node) {
    let (host, incarnation) = (node.settings.host.clone(), node.usage.incarnation);
    let change = window::Change::Enrol { host, incarnation, from: present(node) };
    if let Err(error) = node.control.propose(Command::Window(change)).await {
        warn!("usage: this node is not enrolled yet: {error}");
    }
}
