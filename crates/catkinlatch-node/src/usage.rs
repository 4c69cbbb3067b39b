//! Closes usage windows and reports them to the platform.

use crate::Node;
use catkinlatch_base::{HostId, Term, WindowId, derive_schema, event};
use catkinlatch_state::{
    Command, Reply,
    window::{self, Figure},
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};

/// How often the leader looks for windows to close.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

derive_schema! {
    /// A usage report as the platform gets it.
    pub struct Report {
        /// The window.
        pub window: WindowId,
        /// When the window began, in milliseconds since the Unix epoch.
        pub begin_ms: u64,
        /// When it ended, in milliseconds since the Unix epoch.
        pub end_ms: u64,
        /// The fencing number.
        pub fence: Term,
        /// The host that reports.
        pub reporter: HostId,
        /// The figures, sorted by team and model.
        pub figures: Vec<Figure>,
    }
}

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

/// Freezes a window and reports it; returns whether it is done with.
async fn report(node: &Node, id: WindowId) -> bool {
    let Some(term) = node.control.leading() else { return false };
    let figures = node.meter().figures(id);
    let freeze = window::Change::Freeze { id, figures: figures.clone(), term };
    let window = match node.control.propose(Command::Window(freeze)).await {
        Ok(Reply::Window(window::Reply::Done)) => window::Window { figures, term, reported: false },
        Ok(Reply::Window(window::Reply::Frozen(window))) => window,
        Ok(_) | Err(_) => return false,
    };
    if window.reported {
        return true;
    }
    let Some(platform) = &node.settings.platform else { return true };
    let length = node.settings.usage_window_ms;
    let report = Report {
        window: id,
        begin_ms: id.get() * length,
        end_ms: id.next().get() * length,
        fence: window.term,
        reporter: node.settings.host.clone(),
        figures: window.figures,
    };
    let sent = node.upstream.post_json(platform, "/v1/usage", &report).await;
    if !sent.is_ok_and(|response| response.status().is_success()) {
        warn!("usage: the platform did not confirm window {id}; it is reported again");
        return false;
    }
    let confirmed = node.control.propose(Command::Window(window::Change::Confirm { id })).await;
    info!("usage: reported window {id}");
    node.record(event::Kind::WindowReported { window: id });
    confirmed.is_ok()
}
