//! Usage windows: each is frozen once and its figures never change afterwards.
//!
//! Usage that becomes known after its window was frozen is added to a later window as a
//! [`Correction`].

mod change;
pub mod figure;
mod source;

pub use self::{
    change::{Change, Contribution, Correction, Reply},
    figure::Figure,
    source::{Count, NodeUsage, Source},
};

use catkinlatch_base::{HostId, Incarnation, Term, WindowId, derive_value, invariant};
use std::collections::BTreeMap;

/// Maximum number of windows that are retained; the oldest confirmed ones are dropped first.
pub const MAX_WINDOWS: usize = 240;

/// Number of newest windows that retain the contribution of each node.
pub const MAX_WINDOWS_WITH_CONTRIBUTIONS: usize = 16;

/// Maximum number of windows whose report is not confirmed.
pub const MAX_UNCONFIRMED_WINDOWS: usize = 240;

/// Maximum number of gone nodes that are retained, so that their late usage is still counted once.
pub const MAX_GONE_SOURCES: usize = 1024;

derive_value! {
    /// A frozen usage window.
    pub struct Window {
        /// Usage in this window, sorted by team and model.
        pub figures: Vec<Figure>,
        /// Usage of earlier windows that became known after they were frozen.
        pub corrections: Vec<Correction>,
        /// Share of each node in the figures; empty for all but the newest
        /// [`MAX_WINDOWS_WITH_CONTRIBUTIONS`] windows.
        pub contributions: Vec<Contribution>,
        /// Fencing token: the term of the leader that froze the window.
        pub term: Term,
        /// Host that froze the window.
        pub host: HostId,
        /// Whether the platform confirmed the window's usage report.
        pub reported: bool,
    }
}

derive_value! {
    /// The retained windows, and the nodes whose usage is counted.
    ///
    /// ```
    /// use catkinlatch_base::{Incarnation, Term, WindowId};
    /// use catkinlatch_state::window::{Change, Reply, Windows};
    ///
    /// let mut windows = Windows::default();
    /// let host: catkinlatch_base::HostId = "host-1".parse().expect("the id is valid");
    /// let (incarnation, id) = (Incarnation::new(1), WindowId::new(7));
    /// windows.apply(&Change::Enroll { host: host.clone(), incarnation, from: id });
    /// let freeze = Change::Freeze { id, usages: vec![], term: Term::new(1), host };
    /// assert_eq!(windows.apply(&freeze), Reply::Missing(vec![incarnation]));
    /// ```
    #[derive(Default)]
    pub struct Windows {
        windows: BTreeMap<WindowId, Window>,
        sources: BTreeMap<Incarnation, Source>,
        last: Option<WindowId>,
        term: Term,
        /// Last window for which an evicted source may have been counted.
        ///
        /// Counts of unknown sources up to this window are rejected, so that none is added twice.
        horizon: Option<WindowId>,
        rejected_usages: u64,
    }
}

impl Windows {
    /// Returns the retained windows.
    pub fn list(&self) -> &BTreeMap<WindowId, Window> {
        &self.windows
    }

    /// Returns the nodes that count usage, including recently gone ones.
    pub fn sources(&self) -> &BTreeMap<Incarnation, Source> {
        &self.sources
    }

    /// Returns the last frozen window, even if it is no longer retained.
    pub fn last(&self) -> Option<WindowId> {
        self.last
    }

    /// Returns how often the usage of a node arrived too late to be counted.
    pub fn rejected_usages(&self) -> u64 {
        self.rejected_usages
    }

    /// Returns the window to be closed next, or `None` if no node counts usage.
    ///
    /// Skips windows before the first one of any node that is not gone.
    pub fn next(&self) -> Option<WindowId> {
        let active = self.sources.values().filter(|source| !source.is_gone);
        let first = active.map(|source| source.from).min()?;
        Some(self.last.map_or(first, |last| first.max(last.next())))
    }

    /// Applies a change and returns its result.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Enroll { host, incarnation, from } => self.enroll(host, *incarnation, *from),
            Change::Freeze { id, usages, term, host } => self.freeze(*id, usages, *term, host),
            Change::Confirm { id } => self.confirm(*id),
        }
    }

    /// Returns the nodes that must be included in a window but whose usage is missing.
    fn missing(&self, id: WindowId, usages: &[NodeUsage]) -> Vec<Incarnation> {
        let has_usage = |incarnation| usages.iter().any(|s| s.incarnation == incarnation);
        self.sources
            .iter()
            .filter(|(incarnation, source)| {
                !source.is_gone && source.from <= id && !has_usage(**incarnation)
            })
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    fn enroll(&mut self, host: &HostId, incarnation: Incarnation, from: WindowId) -> Reply {
        let from = self.last.map_or(from, |last| from.max(last.next()));
        let source =
            self.sources.entry(incarnation).or_insert_with(|| Source::new(host.clone(), from));
        if source.is_gone {
            source.is_gone = false;
            source.from = from;
        }
        Reply::Done
    }

    fn freeze(&mut self, id: WindowId, usages: &[NodeUsage], term: Term, host: &HostId) -> Reply {
        if let Some(earlier) = self.windows.get(&id) {
            return Reply::Frozen(earlier.clone());
        }
        if self.last.is_some_and(|last| id <= last) {
            return Reply::Passed;
        }
        if term < self.term {
            return Reply::Superseded;
        }
        if self.windows.values().filter(|window| !window.reported).count()
            >= MAX_UNCONFIRMED_WINDOWS
        {
            return Reply::Full;
        }
        let missing = self.missing(id, usages);
        if !missing.is_empty() {
            return Reply::Missing(missing);
        }
        self.term = term;
        self.last = Some(id);
        let window = self.count_usages(id, usages, term, host);
        self.windows.insert(id, window);
        self.evict();
        Reply::Done
    }

    /// Creates a window from the usage that was not counted before.
    fn count_usages(
        &mut self,
        id: WindowId,
        usages: &[NodeUsage],
        term: Term,
        host: &HostId,
    ) -> Window {
        let (figures, corrections, contributions) = (Vec::new(), Vec::new(), Vec::new());
        let (host, reported) = (host.clone(), false);
        let mut window = Window { figures, corrections, contributions, term, host, reported };
        for usage in usages {
            let (host, incarnation) = (usage.host.clone(), usage.incarnation);
            if !self.sources.contains_key(&incarnation) && self.may_be_counted(usage) {
                self.rejected_usages += 1;
                continue;
            }
            let new = || Source::new(host.clone(), id);
            let source = self.sources.entry(incarnation).or_insert_with(new);
            for Count { window: of, figures } in source.count(usage, id) {
                if of == id {
                    figure::merge(&mut window.figures, &figures, Figure::add);
                    let (host, spoken_by) = (host.clone(), usage.spoken_by.clone());
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
        self.evict();
        Reply::Done
    }

    /// Returns whether an unknown source may have been counted before it was evicted.
    fn may_be_counted(&self, usage: &NodeUsage) -> bool {
        usage.counts.iter().any(|count| Some(count.window) <= self.horizon)
    }

    /// Drops contributions, confirmed windows and gone sources beyond their bounds.
    fn evict(&mut self) {
        let excess = self.windows.len().saturating_sub(MAX_WINDOWS_WITH_CONTRIBUTIONS);
        for window in self.windows.values_mut().take(excess) {
            window.contributions = Vec::new();
        }
        let mut excess = self.windows.len().saturating_sub(MAX_WINDOWS);
        self.windows.retain(|_, window| {
            let drop = excess > 0 && window.reported;
            excess -= usize::from(drop);
            !drop
        });
        self.evict_gone_sources();
    }

    /// Drops the gone sources that were counted longest ago and advances the horizon.
    fn evict_gone_sources(&mut self) {
        let mut gone: Vec<(Option<WindowId>, Incarnation)> = self
            .sources
            .iter()
            .filter(|(_, source)| source.is_gone)
            .map(|(incarnation, source)| (source.last(), *incarnation))
            .collect();
        gone.sort_unstable();
        for (last, incarnation) in gone.iter().take(gone.len().saturating_sub(MAX_GONE_SOURCES)) {
            self.sources.remove(incarnation);
            self.horizon = self.horizon.max(*last);
        }
        invariant!(
            "usage of nodes that are not remembered is counted in closed windows only",
            self.horizon <= self.last,
            "the horizon {:?} is later than the last window {:?}",
            self.horizon,
            self.last
        );
    }
}
