//! The audit view of a usage window: its figures and the records that they are derived from.

use crate::Node;
use catkinlatch_base::{HostId, OrderId, Term, WindowId, derive_schema};
use catkinlatch_fleet::usage::Report;
use catkinlatch_state::{
    order::{Action, Stage},
    window::{Contribution, Correction, Figure},
};

derive_schema! {
    /// The figures of a usage window and the records that they are derived from.
    pub struct View {
        /// The window id.
        pub window: WindowId,
        /// When the window began, in milliseconds since the Unix epoch.
        pub begin_ms: u64,
        /// When the window ended, in milliseconds since the Unix epoch.
        pub end_ms: u64,
        /// The host of the leader that froze the window.
        pub frozen_by: HostId,
        /// The fencing token under which the window was frozen.
        pub fence: Term,
        /// The SHA-256 digest of the report's bytes, in hexadecimal digits.
        pub digest: String,
        /// Whether the platform confirmed the report.
        pub is_reported: bool,
        /// The reported figures, sorted by team and model.
        pub figures: Vec<Figure>,
        /// The contribution of each node to the figures; empty for old windows.
        pub contributions: Vec<Contribution>,
        /// Usage of earlier windows that was reported with this window.
        pub corrections: Vec<Correction>,
        /// Usage of this window that was reported with later windows.
        pub corrected_by: Vec<LaterCorrection>,
        /// The orders that carried the report.
        pub reports: Vec<ReportOrder>,
    }
}

derive_schema! {
    /// Usage of a window that was reported with a later window.
    pub struct LaterCorrection {
        /// The window whose report contains the correction.
        pub reported_with: WindowId,
        /// The usage to add, as counted by one node.
        pub correction: Correction,
    }
}

derive_schema! {
    /// An order that carried a report.
    pub struct ReportOrder {
        /// The order id.
        pub order: OrderId,
        /// The fencing token of the leader that sent the order.
        pub fence: Term,
        /// Whether the platform confirmed the order.
        pub is_confirmed: bool,
        /// When the intent of the order was committed, in milliseconds since the Unix epoch.
        pub intended_ms: u64,
    }
}

impl View {
    /// Creates the view of a window from the committed state.
    ///
    /// Returns `None` if the window is not closed yet, or no longer kept.
    pub fn new(node: &Node, id: WindowId) -> Option<Self> {
        let state = node.control.state();
        let window = state.windows().list().get(&id)?;
        let report = Report::new(id, window, node.settings.usage_window_ms);
        let is_of =
            |action: &Action| matches!(action, Action::Report { window, .. } if *window == id);
        let orders = state.orders().list().iter().filter(|(_, order)| is_of(&order.action));
        let reports = orders.map(|(order_id, order)| ReportOrder {
            order: order_id.clone(),
            fence: order.term,
            is_confirmed: order.stage == Stage::Done,
            intended_ms: order.intended_ms,
        });
        let mut corrected_by = Vec::new();
        for (later, window) in state.windows().list().range(id.next()..) {
            let of_this = window.corrections.iter().filter(|c| c.window == id).cloned();
            corrected_by.extend(
                of_this.map(|correction| LaterCorrection { reported_with: *later, correction }),
            );
        }
        Some(Self {
            window: id,
            begin_ms: report.begin_ms,
            end_ms: report.end_ms,
            frozen_by: window.host.clone(),
            fence: window.term,
            digest: report.digest(),
            is_reported: window.reported,
            figures: report.figures,
            contributions: window.contributions.clone(),
            corrections: report.corrections,
            corrected_by,
            reports: reports.collect(),
        })
    }
}
