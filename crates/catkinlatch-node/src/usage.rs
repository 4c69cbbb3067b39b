//! Closes usage windows and reports them to the platform.

use crate::{Node, order};
use catkinlatch_base::{OrderId, WindowId, event};
use catkinlatch_fleet::usage::Report;
use catkinlatch_state::{
    Command, Reply,
    order::{Action, Stage},
    window::{self, Window},
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};

/// How often the leader looks for windows to close.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the window that a moment lies in.
pub fn window_at(wall_ms: u64, window_ms: u64) -> WindowId {
    WindowId::new(wall_ms / window_ms.max(1))
}

/// Closes and reports windows for as long as the node runs.
pub async fn report_windows(node: Arc<Node>) {
    let mut next = window_at(node.clock.wall_ms(), node.settings.usage_window_ms);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let present = window_at(node.clock.wall_ms(), node.settings.usage_window_ms);
        while next < present {
            if !report(&node, next).await {
                break;
            }
            next = next.next();
        }
    }
}

/// Returns the bytes of a frozen window's report.
pub fn report_bytes(node: &Node, id: WindowId) -> Option<Vec<u8>> {
    let state = node.control.state();
    let window = state.windows().list().get(&id)?;
    Some(Report::new(id, window, node.settings.usage_window_ms).to_bytes())
}

/// Freezes a window and reports it; returns whether it is done with.
async fn report(node: &Node, id: WindowId) -> bool {
    let Some(window) = freeze(node, id).await else { return false };
    if window.reported || node.settings.platform.is_none() {
        return true;
    }
    let digest = Report::new(id, &window, node.settings.usage_window_ms).digest();
    let Some(order) = order_id(node, id) else { return false };
    let action = Action::Report { window: id, digest };
    match order::carry_out(node, order, action).await {
        Some(Stage::Done) => {}
        outcome => {
            warn!("usage: window {id} is reported again, its report came to {outcome:?}");
            return false;
        }
    }
    let confirmed = node.control.propose(Command::Window(window::Change::Confirm { id })).await;
    info!("usage: reported window {id}");
    node.record(event::Kind::WindowReported { window: id });
    confirmed.is_ok()
}

/// Freezes a window and returns it, or the window that was frozen before.
async fn freeze(node: &Node, id: WindowId) -> Option<Window> {
    let term = node.control.leading()?;
    let (figures, host) = (node.meter().figures(id), node.settings.host.clone());
    let change = window::Change::Freeze { id, figures, term, host };
    node.control.propose(Command::Window(change)).await.ok().and_then(|reply| match reply {
        Reply::Window(window::Reply::Done) => {
            node.control.state().windows().list().get(&id).cloned()
        }
        Reply::Window(window::Reply::Frozen(window)) => Some(window),
        _ => None,
    })
}

/// Returns the first id of a window's report orders that is open or was never used.
fn order_id(node: &Node, id: WindowId) -> Option<OrderId> {
    let state = node.control.state();
    let usable = |order: &OrderId| {
        state.orders().list().get(order).is_none_or(|order| order.stage == Stage::Intended)
    };
    (0_u32..).filter_map(|n| format!("report-{id}-{n}").parse().ok()).find(usable)
}
