//! Decides when a usage window may be frozen, and collects the usage of the nodes for it.

use catkinlatch_base::{HostId, Incarnation, Instant, WindowId, derive_value};
use catkinlatch_state::window::{Count, Figure, NodeUsage, Windows, figure};
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

derive_value! {
    /// The answer of one host when a window is to be closed.
    pub struct Answer {
        /// The counters of the host's own node, which are final up to the window.
        pub own: NodeUsage,
        /// The replicated counters that the host holds for nodes on other hosts.
        pub held: Vec<NodeUsage>,
    }
}

derive_value! {
    /// The next step that the closer requests.
    pub enum Step {
        /// No window is due.
        Idle,
        /// Ask these hosts to close the window and to return their own and their replicated
        /// counters.
        Ask {
            /// The window that is due.
            window: WindowId,
            /// The hosts that have not answered.
            hosts: Vec<HostId>,
        },
        /// Commit the window with this usage.
        Freeze {
            /// The window to freeze.
            window: WindowId,
            /// The usage of each node.
            usages: Vec<NodeUsage>,
        },
    }
}

/// Collects the answers of hosts about the window that is due.
///
/// A window waits for every enrolled node. A node counts as gone if its host answers under another
/// incarnation or does not answer within the grace period; the counters that other hosts hold for
/// it are used instead.
///
/// ```
/// use catkinlatch_base::{Instant, WindowId};
/// use catkinlatch_fleet::usage::{Closer, Step};
/// use catkinlatch_state::window::Windows;
/// use std::time::Duration;
///
/// let mut closer = Closer::new(Duration::from_secs(10));
/// let step = closer.next(&Windows::default(), WindowId::new(7), &[], Instant::ZERO);
/// assert_eq!(step, Step::Idle);
/// ```
#[derive(Debug)]
pub struct Closer {
    grace: Duration,
    due: Option<WindowId>,
    due_since: Instant,
    answers: BTreeMap<HostId, Answer>,
}

impl Closer {
    /// Creates a closer that waits up to `grace` for the answers of all hosts.
    ///
    /// `grace` must be longer than a configuration lease.
    pub fn new(grace: Duration) -> Self {
        Self { grace, due: None, due_since: Instant::ZERO, answers: BTreeMap::new() }
    }

    /// Returns the next step; `present` is the current window.
    pub fn next(
        &mut self,
        windows: &Windows,
        present: WindowId,
        hosts: &[HostId],
        now: Instant,
    ) -> Step {
        let Some(window) = windows.next().filter(|window| *window < present) else {
            self.due = None;
            return Step::Idle;
        };
        if self.due != Some(window) {
            self.due = Some(window);
            self.due_since = now;
            self.answers.clear();
        }
        let pending: Vec<HostId> =
            hosts.iter().filter(|host| !self.answers.contains_key(host)).cloned().collect();
        if self.may_close(windows, window, &pending, now) {
            return Step::Freeze { window, usages: self.usages(windows, window) };
        }
        Step::Ask { window, hosts: pending }
    }

    /// Records a host's answer about a window; ignored unless that window is due.
    pub fn answered(&mut self, window: WindowId, host: HostId, answer: Answer) {
        if self.due == Some(window) {
            self.answers.insert(host, answer);
        }
    }

    /// Returns whether all nodes or all hosts have answered, or the grace period is over.
    fn may_close(
        &self,
        windows: &Windows,
        window: WindowId,
        pending: &[HostId],
        now: Instant,
    ) -> bool {
        let waited = now.saturating_duration_since(self.due_since) >= self.grace;
        let missing = self.missing(windows, window);
        missing.is_empty() || pending.is_empty() || waited
    }

    /// Returns the nodes that the window waits for and that have not answered themselves.
    fn missing(&self, windows: &Windows, window: WindowId) -> Vec<(Incarnation, HostId)> {
        let has_answered =
            |incarnation| self.answers.values().any(|a| a.own.incarnation == incarnation);
        windows
            .sources()
            .iter()
            .filter(|(id, source)| !source.is_gone && source.from <= window && !has_answered(**id))
            .map(|(id, source)| (*id, source.host.clone()))
            .collect()
    }

    /// Returns the usage of each node that answered, is missing, or has uncounted usage.
    fn usages(&self, windows: &Windows, window: WindowId) -> Vec<NodeUsage> {
        let mut usages: BTreeMap<Incarnation, NodeUsage> = BTreeMap::new();
        for (incarnation, host) in self.missing(windows, window) {
            let spoken_by = self.answers.keys().next().cloned().or_else(|| Some(host.clone()));
            let counts = Vec::new();
            let empty = NodeUsage { host, incarnation, spoken_by, counts };
            usages.insert(incarnation, empty);
        }
        for held in self.answers.values().flat_map(|answer| &answer.held) {
            if usages.contains_key(&held.incarnation) || has_uncounted(windows, held) {
                merge_held(usages.entry(held.incarnation), held);
            }
        }
        for answer in self.answers.values() {
            usages.insert(answer.own.incarnation, answer.own.clone());
        }
        usages.into_values().collect()
    }
}

/// Returns whether a replica holds uncounted usage of a node that is gone or unknown.
fn has_uncounted(windows: &Windows, held: &NodeUsage) -> bool {
    let is_uncounted = |count: &Count| {
        let source = windows.sources().get(&held.incarnation);
        source.is_none_or(|source| source.is_gone && !source.covers(count))
    };
    held.counts.iter().any(is_uncounted)
}

/// Merges the counters that another host holds into a node's usage.
fn merge_held(entry: Entry<'_, Incarnation, NodeUsage>, held: &NodeUsage) {
    let usage = entry.or_insert_with(|| NodeUsage { counts: Vec::new(), ..held.clone() });
    if !held.counts.is_empty() {
        usage.spoken_by.clone_from(&held.spoken_by);
    }
    let mut counts: BTreeMap<WindowId, Vec<Figure>> =
        usage.counts.drain(..).map(|count| (count.window, count.figures)).collect();
    for count in &held.counts {
        figure::merge(counts.entry(count.window).or_default(), &count.figures, Figure::raise);
    }
    usage.counts = counts.into_iter().map(|(window, figures)| Count { window, figures }).collect();
}
