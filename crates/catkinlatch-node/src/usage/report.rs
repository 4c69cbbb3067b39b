//! Reports frozen windows to the platform, as orders of the current leader.

use super::CHECK_INTERVAL;
use crate::{Node, order};
use catkinlatch_base::{OrderId, WindowId, event};
use catkinlatch_fleet::usage::Report;
use catkinlatch_state::{
    Command, State,
    order::{Action, Stage},
    window,
};
use log::{info, warn};
use std::sync::Arc;
use tokio::time;

/// Reports windows while this node leads. Never returns.
pub async fn report_windows(node: Arc<Node>) {
    let mut changes = node.control.changes();
    loop {
        while let Some(id) = first_unreported(&node) {
            if !report(&node, id).await {
                break;
            }
        }
        let _ = time::timeout(CHECK_INTERVAL, changes.changed()).await;
    }
}

/// Returns the report of a frozen window as JSON, or `None` if the window is not kept.
///
/// The bytes are the same on each node and in each attempt.
pub fn report_bytes(node: &Node, id: WindowId) -> Option<Vec<u8>> {
    build_report(node, &node.control.state(), id).map(|report| report.to_bytes())
}

fn build_report(node: &Node, state: &State, id: WindowId) -> Option<Report> {
    let window = state.windows().list().get(&id)?;
    Some(Report::new(id, window, node.settings.usage_window_ms))
}

/// Returns the oldest unreported window, if this node leads and a platform is configured.
fn first_unreported(node: &Node) -> Option<WindowId> {
    node.settings.platform.as_ref()?;
    node.control.leading_term()?;
    let state = node.control.state();
    let mut windows = state.windows().list().iter();
    windows.find(|(_, window)| !window.reported).map(|(id, _)| *id)
}

/// Reports a window; returns whether the platform's confirmation is committed.
async fn report(node: &Node, id: WindowId) -> bool {
    let state = node.control.state();
    let Some(built) = build_report(node, &state, id) else { return false };
    let Some(order) = order_id(&state, id) else { return false };
    let action = Action::Report { window: id, digest: built.digest() };
    match order::execute(node, order, action).await {
        Some(Stage::Done) => {}
        outcome => {
            warn!("usage: report of window {id} ended as {outcome:?} and will be sent again");
            return false;
        }
    }
    let confirmed = node.control.propose(Command::Window(window::Change::Confirm { id })).await;
    info!("usage: reported window {id}");
    node.record(event::Kind::WindowReported { window: id });
    confirmed.is_ok()
}

/// Returns the first report order id of a window that is unused, open or confirmed.
///
/// Ids of failed attempts are skipped.
fn order_id(state: &State, id: WindowId) -> Option<OrderId> {
    let is_usable = |order: &OrderId| {
        let stage = state.orders().list().get(order).map(|order| order.stage);
        matches!(stage, None | Some(Stage::Intended | Stage::Done))
    };
    (0_u32..).filter_map(|n| format!("report-{id}-{n}").parse().ok()).find(is_usable)
}
