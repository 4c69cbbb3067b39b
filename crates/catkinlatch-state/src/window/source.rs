//! The nodes that count usage, and which of their usage is already counted in windows.

use super::{Figure, figure};
use catkinlatch_base::{HostId, Incarnation, WindowId, derive_schema, derive_value};
use std::collections::BTreeMap;

derive_schema! {
    /// The cumulative counters of one node in one window.
    #[derive(Eq)]
    pub struct Count {
        /// Window that the usage belongs to.
        pub window: WindowId,
        /// Cumulative usage in the window, sorted by team and model.
        pub figures: Vec<Figure>,
    }
}

derive_schema! {
    /// The usage of one node as reported by itself or by another host.
    #[derive(Eq)]
    pub struct NodeUsage {
        /// Host of the node that counted the usage.
        pub host: HostId,
        /// Incarnation of the node that counted the usage.
        pub incarnation: Incarnation,
        /// Host that reports on behalf of the node; absent if the node reports its own usage.
        pub spoken_by: Option<HostId>,
        /// Counters of windows up to the one that is being closed; later windows are ignored.
        pub counts: Vec<Count>,
    }
}

impl NodeUsage {
    /// Returns whether the node reports its own usage, which is final for all windows up to the
    /// closed one.
    pub fn is_own(&self) -> bool {
        self.spoken_by.is_none()
    }
}

derive_value! {
    /// A node that counts usage, and which of it is already counted in windows.
    pub struct Source {
        /// Host of the node.
        pub host: HostId,
        /// First window that must not be closed without the usage of this node.
        pub from: WindowId,
        /// Whether the node is gone; windows are then closed without its usage.
        pub is_gone: bool,
        /// Last window for which the node reported its own usage.
        pub settled_through: Option<WindowId>,
        /// Usage in later windows that other hosts reported and that is already counted.
        pub counted: BTreeMap<WindowId, Vec<Figure>>,
    }
}

impl Source {
    /// Creates a source whose usage is required from the window `from` on.
    pub fn new(host: HostId, from: WindowId) -> Self {
        Self { host, from, is_gone: false, settled_through: None, counted: BTreeMap::new() }
    }

    /// Returns whether the node's usage in a window is final.
    pub fn is_settled(&self, window: WindowId) -> bool {
        self.settled_through.is_some_and(|through| window <= through)
    }

    /// Returns the reported usage that is not yet counted, and marks it as counted.
    ///
    /// Ignores windows after `through`. A report by another host marks the node as gone.
    pub fn count(&mut self, usage: &NodeUsage, through: WindowId) -> Vec<Count> {
        let mut fresh = Vec::new();
        for count in usage.counts.iter().filter(|count| count.window <= through) {
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
        if usage.is_own() {
            self.settled_through = self.settled_through.max(Some(through));
            self.counted.retain(|window, _| *window > through);
        } else {
            self.is_gone = true;
        }
        fresh
    }

    /// Returns whether all usage in a count is already counted.
    pub fn covers(&self, count: &Count) -> bool {
        let counted = self.counted.get(&count.window).map_or(&[][..], Vec::as_slice);
        self.is_settled(count.window) || figure::difference(&count.figures, counted).is_empty()
    }

    /// Returns the last window in which usage of the node was counted.
    pub fn last(&self) -> Option<WindowId> {
        self.counted.keys().next_back().copied().max(self.settled_through)
    }
}
