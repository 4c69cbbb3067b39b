//! The nodes that count usage, and how far each of them is accounted for.

use super::{Figure, figure};
use catkinlatch_base::{HostId, Incarnation, WindowId, derive_schema, derive_value};
use std::collections::BTreeMap;

derive_schema! {
    /// The cumulative counters of one node in one window.
    #[derive(Eq)]
    pub struct Count {
        /// The window.
        pub window: WindowId,
        /// The figures, sorted by team and model.
        pub figures: Vec<Figure>,
    }
}

derive_schema! {
    /// What is said of the usage that one node counted.
    #[derive(Eq)]
    pub struct Statement {
        /// The node's host.
        pub host: HostId,
        /// The start of the node's process that counted.
        pub incarnation: Incarnation,
        /// The other host that says so; absent where the node speaks for itself.
        pub spoken_by: Option<HostId>,
        /// The counters of all windows up to the one being closed, and none beyond.
        pub counts: Vec<Count>,
    }
}

impl Statement {
    /// Returns whether the node speaks for itself, which is final for all windows up to then.
    pub fn is_own(&self) -> bool {
        self.spoken_by.is_none()
    }
}

derive_value! {
    /// How far one node's usage is accounted for.
    pub struct Source {
        /// The node's host.
        pub host: HostId,
        /// The first window that must not close without this node.
        pub from: WindowId,
        /// Whether the node is gone, so that no window waits for it.
        pub is_gone: bool,
        /// The last window that the node itself has spoken for.
        pub settled_through: Option<WindowId>,
        /// What others said of later windows and was counted.
        pub counted: BTreeMap<WindowId, Vec<Figure>>,
    }
}

impl Source {
    /// Creates a source that takes part from a window on.
    pub fn new(host: HostId, from: WindowId) -> Self {
        Self { host, from, is_gone: false, settled_through: None, counted: BTreeMap::new() }
    }

    /// Returns whether nothing more can come for this window.
    pub fn is_settled(&self, window: WindowId) -> bool {
        self.settled_through.is_some_and(|through| window <= through)
    }

    /// Counts what a statement has beyond what was counted, window by window.
    pub fn count(&mut self, statement: &Statement, through: WindowId) -> Vec<Count> {
        let mut fresh = Vec::new();
        for count in statement.counts.iter().filter(|count| count.window <= through) {
            if self.is_settled(count.window) {
                continue;
            }
            let counted = self.counted.entry(count.window).or_default();
            let figures = figure::difference(&count.figures, counted);
            figure::merge(counted, &count.figures, Figure::raise);
            if !figures.is_empty() {
                fresh.push(Count { window: count.window, figures });
            }
        }
        if statement.is_own() {
            self.settled_through = self.settled_through.max(Some(through));
            self.counted.retain(|window, _| *window > through);
        } else {
            self.is_gone = true;
        }
        fresh
    }

    /// Returns whether a count would add nothing.
    pub fn covers(&self, count: &Count) -> bool {
        let counted = self.counted.get(&count.window).map_or(&[][..], Vec::as_slice);
        self.is_settled(count.window) || figure::difference(&count.figures, counted).is_empty()
    }

    /// Returns the last window that anything was counted in.
    pub fn last(&self) -> Option<WindowId> {
        self.counted.keys().next_back().copied().max(self.settled_through)
    }
}
