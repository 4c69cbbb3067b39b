//! Decides when a usage window may close, and with whose figures.

use catkinlatch_base::{HostId, Incarnation, Instant, WindowId, derive_value};
use catkinlatch_state::window::{Count, Figure, Statement, Windows, figure};
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

derive_value! {
    /// What one host says when a window is to be closed.
    pub struct Answer {
        /// The counters of the host's own node; final up to the window.
        pub own: Statement,
        /// The counters that the host holds for others.
        pub held: Vec<Statement>,
    }
}

derive_value! {
    /// What the closer wants done next.
    pub enum Step {
        /// No window is due.
        Idle,
        /// Ask these hosts to end the window and say what they counted and hold.
        Ask {
            /// The window.
            window: WindowId,
            /// The hosts that have not answered.
            hosts: Vec<HostId>,
        },
        /// Commit the window with these statements.
        Freeze {
            /// The window.
            window: WindowId,
            /// One statement of each node.
            statements: Vec<Statement>,
        },
    }
}

/// Collects what hosts say about the window that is due.
///
/// A window waits for every enrolled node. A node counts as gone when its host answers under
/// another incarnation, or has not answered within the grace; others then speak for it.
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
    begun: Instant,
    answers: BTreeMap<HostId, Answer>,
}

impl Closer {
    /// Creates a closer that waits `grace` for a silent host; longer than a configuration lease.
    pub fn new(grace: Duration) -> Self {
        Self { grace, due: None, begun: Instant::ZERO, answers: BTreeMap::new() }
    }

    /// Returns what to do next; `present` is the window that is open now.
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
            self.begun = now;
            self.answers.clear();
        }
        let silent: Vec<HostId> =
            hosts.iter().filter(|host| !self.answers.contains_key(host)).cloned().collect();
        if self.may_close(windows, window, &silent, now) {
            return Step::Freeze { window, statements: self.statements(windows, window) };
        }
        Step::Ask { window, hosts: silent }
    }

    /// Takes a host's answer about a window.
    pub fn answered(&mut self, window: WindowId, host: HostId, answer: Answer) {
        if self.due == Some(window) {
            self.answers.insert(host, answer);
        }
    }

    /// Returns whether every node has spoken, or is gone and all others have spoken for it.
    fn may_close(
        &self,
        windows: &Windows,
        window: WindowId,
        silent: &[HostId],
        now: Instant,
    ) -> bool {
        let waited = now.saturating_duration_since(self.begun) >= self.grace;
        let missing = self.missing(windows, window);
        missing.is_empty() || silent.is_empty() || waited
    }

    /// Returns the nodes that the window waits for and that have not spoken for themselves.
    fn missing(&self, windows: &Windows, window: WindowId) -> Vec<(Incarnation, HostId)> {
        let spoke = |incarnation| self.answers.values().any(|a| a.own.incarnation == incarnation);
        windows
            .sources()
            .iter()
            .filter(|(id, source)| !source.is_gone && source.from <= window && !spoke(**id))
            .map(|(id, source)| (*id, source.host.clone()))
            .collect()
    }

    /// Returns one statement of each node that has something to say or must be spoken for.
    fn statements(&self, windows: &Windows, window: WindowId) -> Vec<Statement> {
        let mut statements: BTreeMap<Incarnation, Statement> = BTreeMap::new();
        for (incarnation, host) in self.missing(windows, window) {
            let spoken_by = self.answers.keys().next().cloned().or_else(|| Some(host.clone()));
            let counts = Vec::new();
            let nothing = Statement { host, incarnation, spoken_by, counts };
            statements.insert(incarnation, nothing);
        }
        for held in self.answers.values().flat_map(|answer| &answer.held) {
            if statements.contains_key(&held.incarnation) || is_late_news(windows, held) {
                join(statements.entry(held.incarnation), held);
            }
        }
        for answer in self.answers.values() {
            statements.insert(answer.own.incarnation, answer.own.clone());
        }
        statements.into_values().collect()
    }
}

/// Returns whether more is held of a node that is gone than was counted.
fn is_late_news(windows: &Windows, held: &Statement) -> bool {
    let is_news = |count: &Count| {
        let source = windows.sources().get(&held.incarnation);
        source.is_none_or(|source| source.is_gone && !source.covers(count))
    };
    held.counts.iter().any(is_news)
}

/// Joins what another host holds into a node's statement.
fn join(entry: Entry<'_, Incarnation, Statement>, held: &Statement) {
    let statement = entry.or_insert_with(|| Statement { counts: Vec::new(), ..held.clone() });
    if !held.counts.is_empty() {
        statement.spoken_by.clone_from(&held.spoken_by);
    }
    let mut counts: BTreeMap<WindowId, Vec<Figure>> =
        statement.counts.drain(..).map(|count| (count.window, count.figures)).collect();
    for count in &held.counts {
        figure::merge(counts.entry(count.window).or_default(), &count.figures, Figure::raise);
    }
    statement.counts =
        counts.into_iter().map(|(window, figures)| Count { window, figures }).collect();
}
