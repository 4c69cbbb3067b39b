//! A window's figures and how they came about, for an auditor.

use crate::Node;
use catkinlatch_base::{HostId, OrderId, Term, WindowId, derive_schema};
use catkinlatch_fleet::usage::Report;
use catkinlatch_state::{
    order::{Action, Stage},
    window::{Contribution, Correction, Figure},
};

derive_schema! {
    /// A window's figures and how they came about.
    pub struct View {
        /// The window.
        pub window: WindowId,
        /// When the window began, in milliseconds since the Unix epoch.
        pub begin_ms: u64,
        /// When it ended, in milliseconds since the Unix epoch.
        pub end_ms: u64,
        /// The host that froze it.
        pub frozen_by: HostId,
        /// The fencing number under which it was frozen.
        pub fence: Term,
        /// The SHA-256 of the report's bytes, in hexadecimal digits.
        pub digest: String,
        /// Whether the platform confirmed the report.
        pub is_reported: bool,
        /// The figures that the window was reported with, sorted by team and model.
        pub figures: Vec<Figure>,
        /// What the figures take from each node; empty for windows that are long past.
        pub contributions: Vec<Contribution>,
        /// Usage of earlier windows that was reported with this one.
        pub corrections: Vec<Correction>,
        /// Usage of this window that was reported with later ones.
        pub corrected_by: Vec<LaterCorrection>,
        /// The orders that carried the report.
        pub reports: Vec<ReportOrder>,
    }
}

derive_schema! {
    /// Usage of a window that was reported with a later one.
    pub struct LaterCorrection {
        /// The window whose report holds it.
        pub reported_with: WindowId,
        /// The correction.
        pub correction: Correction,
    }
}

derive_schema! {
    /// An order that carried a report.
    pub struct ReportOrder {
        /// The order.
        pub order: OrderId,
        /// The fencing number of its sender.
        pub fence: Term,
        /// Whether the platform confirmed it.
        pub is_confirmed: bool,
        /// When the intent was committed, in milliseconds since the Unix epoch.
        pub intended_ms: u64,
    }
}

impl View {
    /// Returns what this node's state tells of a window, if it is kept.
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
