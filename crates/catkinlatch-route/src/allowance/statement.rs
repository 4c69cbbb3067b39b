//! The rates that overloaded targets state to accept from all senders together.

use catkinlatch_base::{Instant, Rate};
use std::{collections::BTreeMap, mem, time::Duration};

/// How long the end of a limit is remembered: longer than any earlier statement is on its way.
const RETENTION: Duration = Duration::from_secs(30);

/// What a target stated last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The rate that the target takes; `None` if it no longer limits it.
    pub rate: Option<Rate>,
    /// When the target is known to have stated it.
    pub at: Instant,
}

/// What an answer changes in what is known of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// The target limits what it takes, or states another rate.
    Limited(Rate),
    /// The target no longer limits what it takes.
    Lifted {
        /// Number of requests that this host sent since it knew of the limit.
        sent: u64,
    },
}

/// What a host knows of one target.
#[derive(Clone, Debug)]
struct Known {
    statement: Statement,
    /// Number of requests that this host sent since it knew of the limit.
    sent: u64,
}

/// The last statement of each target that has named a limit, by start of a target.
///
/// A limit holds until the target answers without it: a target that gets nothing states nothing.
#[derive(Clone, Debug)]
pub struct Statements<K> {
    by_start: BTreeMap<K, Known>,
}

impl<K> Default for Statements<K> {
    fn default() -> Self {
        Self { by_start: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Statements<K> {
    /// Records what the answer to a request that was sent at `sent` states.
    ///
    /// An answer without a limit counts only if its request was sent after the limit was heard of,
    /// since answers overtake each other.
    pub fn observe(
        &mut self,
        start: &K,
        rate: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> Change {
        let at = if rate.is_some() { now } else { sent };
        self.adopt(start, Statement { rate, at })
    }

    /// Takes over a statement, possibly one that another host heard, unless a newer one is known.
    pub fn adopt(&mut self, start: &K, statement: Statement) -> Change {
        let Some(known) = self.by_start.get_mut(start) else {
            let Some(rate) = statement.rate else { return Change::Unchanged };
            self.by_start.insert(start.clone(), Known { statement, sent: 0 });
            return Change::Limited(rate);
        };
        if statement.at <= known.statement.at {
            return Change::Unchanged;
        }
        let before = mem::replace(&mut known.statement, statement).rate;
        match statement.rate {
            rate if rate == before => Change::Unchanged,
            Some(rate) => Change::Limited(rate),
            None => Change::Lifted { sent: mem::take(&mut known.sent) },
        }
    }

    /// Counts a request to a target; returns the rate that it takes, or `None` if it is not limited.
    pub fn count_sent(&mut self, start: &K) -> Option<Rate> {
        let known = self.by_start.get_mut(start)?;
        known.sent += u64::from(known.statement.rate.is_some());
        known.statement.rate
    }

    /// Returns the rate that a target takes; `None` if it is not limited.
    pub fn rate(&self, start: &K) -> Option<Rate> {
        self.by_start.get(start)?.statement.rate
    }

    /// Returns the last statements of all targets that have named a limit.
    pub fn list(&self) -> impl Iterator<Item = (&K, Statement)> {
        self.by_start.iter().map(|(start, known)| (start, known.statement))
    }

    /// Returns whether no target has named a limit.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Drops the targets for which `is_known` is false, and limits that ended long ago.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool, now: Instant) {
        self.by_start.retain(|start, known| {
            let Statement { rate, at } = known.statement;
            is_known(start) && (rate.is_some() || now < at + RETENTION)
        });
    }
}
