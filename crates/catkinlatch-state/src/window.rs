//! Usage windows: frozen once, then reported with the same figures for ever.

mod change;
pub mod figure;
mod source;

pub use self::{
    change::{Change, Contribution, Correction, Reply},
    figure::Figure,
    source::{Count, Source, Statement},
};

use catkinlatch_base::{HostId, Incarnation, Term, WindowId, derive_value, invariant};
use std::collections::BTreeMap;

/// How many confirmed windows are kept.
pub const KEPT_WINDOWS: usize = 240;

/// How many windows keep the contribution of each node.
pub const KEPT_CONTRIBUTIONS: usize = 16;

/// How many windows may wait for their report to be confirmed.
pub const MAX_UNCONFIRMED: usize = 240;

/// How many nodes that are gone are remembered, to count what they still bring.
pub const KEPT_GONE: usize = 1024;

derive_value! {
    /// One window.
    pub struct Window {
        /// The figures, sorted by team and model.
        pub figures: Vec<Figure>,
        /// Usage of earlier windows that became known late.
        pub corrections: Vec<Correction>,
        /// Where the figures come from; empty for windows that are long past.
        pub contributions: Vec<Contribution>,
        /// The fencing number: the term of the leader that froze it.
        pub term: Term,
        /// The host that froze it.
        pub host: HostId,
        /// Whether the platform confirmed the report.
        pub reported: bool,
    }
}

derive_value! {
    /// All windows that are kept, and the nodes whose usage goes into the next.
    ///
    /// ```
    /// use catkinlatch_base::{Incarnation, Term, WindowId};
    /// use catkinlatch_state::window::{Change, Reply, Windows};
    ///
    /// let mut windows = Windows::default();
    /// let host: catkinlatch_base::HostId = "host-1".parse().expect("the id is valid");
    /// let (incarnation, id) = (Incarnation::new(1), WindowId::new(7));
    /// windows.apply(&Change::Enrol { host: host.clone(), incarnation, from: id });
    /// let freeze = Change::Freeze { id, statements: vec![], term: Term::new(1), host };
    /// assert_eq!(windows.apply(&freeze), Reply::Missing(vec![incarnation]));
    /// ```
    #[derive(Default)]
    pub struct Windows {
        windows: BTreeMap<WindowId, Window>,
        sources: BTreeMap<Incarnation, Source>,
        last: Option<WindowId>,
        term: Term,
        /// Windows up to here take nothing more from nodes that are not remembered.
        horizon: Option<WindowId>,
        refused: u64,
    }
}

impl Windows {
    /// Returns all windows that are kept.
    pub fn list(&self) -> &BTreeMap<WindowId, Window> {
        &self.windows
    }

    /// Returns the nodes that count usage.
    pub fn sources(&self) -> &BTreeMap<Incarnation, Source> {
        &self.sources
    }

    /// Returns the last window that was frozen.
    pub fn last(&self) -> Option<WindowId> {
        self.last
    }

    /// Returns how many statements came too late to be counted at all.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the window to be closed next, if any node counts usage.
    ///
    /// Windows in which no node took part are passed over.
    pub fn next(&self) -> Option<WindowId> {
        let active = self.sources.values().filter(|source| !source.is_gone);
        let first = active.map(|source| source.from).min()?;
        Some(self.last.map_or(first, |last| first.max(last.next())))
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Enrol { host, incarnation, from } => self.enrol(host, *incarnation, *from),
            Change::Freeze { id, statements, term, host } => {
                self.freeze(*id, statements, *term, host)
            }
            Change::Confirm { id } => self.confirm(*id),
        }
    }

    /// Returns the nodes that a window must not close without and that no statement is of.
    fn missing(&self, id: WindowId, statements: &[Statement]) -> Vec<Incarnation> {
        let said = |incarnation| statements.iter().any(|s| s.incarnation == incarnation);
        self.sources
            .iter()
            .filter(|(incarnation, source)| {
                !source.is_gone && source.from <= id && !said(**incarnation)
            })
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    fn enrol(&mut self, host: &HostId, incarnation: Incarnation, from: WindowId) -> Reply {
        let from = self.last.map_or(from, |last| from.max(last.next()));
        let source =
            self.sources.entry(incarnation).or_insert_with(|| Source::new(host.clone(), from));
        if source.is_gone {
            source.is_gone = false;
            source.from = from;
        }
        Reply::Done
    }

    fn freeze(
        &mut self,
        id: WindowId,
        statements: &[Statement],
        term: Term,
        host: &HostId,
    ) -> Reply {
        if let Some(earlier) = self.windows.get(&id) {
            return Reply::Frozen(earlier.clone());
        }
        if self.last.is_some_and(|last| id <= last) {
            return Reply::Passed;
        }
        if term < self.term {
            return Reply::Superseded;
        }
        if self.windows.values().filter(|window| !window.reported).count() >= MAX_UNCONFIRMED {
            return Reply::Full;
        }
        let missing = self.missing(id, statements);
        if !missing.is_empty() {
            return Reply::Missing(missing);
        }
        self.term = term;
        self.last = Some(id);
        let window = self.account(id, statements, term, host);
        self.windows.insert(id, window);
        self.forget();
        Reply::Done
    }

    /// Counts the statements into a new window.
    fn account(
        &mut self,
        id: WindowId,
        statements: &[Statement],
        term: Term,
        host: &HostId,
    ) -> Window {
        let (figures, corrections, contributions) = (Vec::new(), Vec::new(), Vec::new());
        let (host, reported) = (host.clone(), false);
        let mut window = Window { figures, corrections, contributions, term, host, reported };
        for statement in statements {
            let (host, incarnation) = (statement.host.clone(), statement.incarnation);
            if !self.sources.contains_key(&incarnation) && self.is_beyond_memory(statement) {
                self.refused += 1;
                continue;
            }
            let new = || Source::new(host.clone(), id);
            let source = self.sources.entry(incarnation).or_insert_with(new);
            for Count { window: of, figures } in source.count(statement, id) {
                if of == id {
                    figure::merge(&mut window.figures, &figures, Figure::add);
                    let (host, spoken_by) = (host.clone(), statement.spoken_by.clone());
                    window.contributions.push(Contribution {
                        host,
                        incarnation,
                        spoken_by,
                        figures,
                    });
                } else {
                    let host = host.clone();
                    window.corrections.push(Correction { window: of, host, incarnation, figures });
                }
            }
        }
        window
    }

    fn confirm(&mut self, id: WindowId) -> Reply {
        let Some(window) = self.windows.get_mut(&id) else { return Reply::NotFound };
        window.reported = true;
        self.forget();
        Reply::Done
    }

    /// Returns whether a node that is not remembered speaks of windows it may have spoken of.
    fn is_beyond_memory(&self, statement: &Statement) -> bool {
        statement.counts.iter().any(|count| Some(count.window) <= self.horizon)
    }

    /// Drops what lies beyond the bounds; a window is dropped only when it is confirmed.
    fn forget(&mut self) {
        let excess = self.windows.len().saturating_sub(KEPT_CONTRIBUTIONS);
        for window in self.windows.values_mut().take(excess) {
            window.contributions = Vec::new();
        }
        let mut excess = self.windows.len().saturating_sub(KEPT_WINDOWS);
        self.windows.retain(|_, window| {
            let drop = excess > 0 && window.reported;
            excess -= usize::from(drop);
            !drop
        });
        self.forget_gone();
    }

    fn forget_gone(&mut self) {
        let mut gone: Vec<(Option<WindowId>, Incarnation)> = self
            .sources
            .iter()
            .filter(|(_, source)| source.is_gone)
            .map(|(incarnation, source)| (source.last(), *incarnation))
            .collect();
        gone.sort_unstable();
        for (last, incarnation) in gone.iter().take(gone.len().saturating_sub(KEPT_GONE)) {
            self.sources.remove(incarnation);
            self.horizon = self.horizon.max(*last);
        }
        invariant!(
            "usage of nodes that are not remembered is counted in closed windows only",
            self.horizon <= self.last,
            "the horizon {:?} lies beyond the last window {:?}",
            self.horizon,
            self.last
        );
    }
}
