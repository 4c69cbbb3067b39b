//! Which targets are cold or state the rate that they take, and how much they may get, as one host
//! knows it.

mod pick;

pub use self::pick::{Entrance, Pick, pick};

use crate::{Target, registry::Phase};
use catkinlatch_base::{Instant, Rate, ServiceId, TargetId};
use catkinlatch_route::allowance::{Change, Limit, Phases, SPAN, Stage, Statement, Statements};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// One start of a target: its id, and when it started in milliseconds since the Unix epoch.
pub type Start = (TargetId, u64);

/// Returns the start of a target.
pub fn start(target: &Target) -> Start {
    (target.id.clone(), target.born_ms)
}

/// What a target may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The target is not limited, and its service does not limit what cold targets get.
    Free,
    /// The target is not limited, and may turn cold at any time.
    Warm,
    /// The target is cold, or was until recently, or states the rate that it takes.
    Limited {
        /// What all senders together plan for.
        limit: Limit,
        /// Factor on the plan and on all shares of it.
        factor: u32,
    },
}

/// The limits of services, the cold phases of their targets, and the rates that targets state.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    limits: Option<BTreeMap<ServiceId, Limit>>,
    phases: Phases<Start>,
    statements: Statements<Start>,
}

impl Bounds {
    /// Creates the table of a host whose settings do not limit what cold targets get.
    pub fn without_cold_limits() -> Self {
        Self { limits: Some(BTreeMap::new()), ..Self::default() }
    }

    /// Replaces the limits of the services; a service without one is free.
    pub fn set_limits(&mut self, limits: BTreeMap<ServiceId, Limit>) {
        self.limits = Some(limits);
    }

    /// Records how long a target states to be cold; returns whether it has turned cold.
    pub fn observe(&mut self, target: &Target, left: Duration, now: Instant) -> bool {
        self.phases.observe(&start(target), left, now) && self.bound(target, now) != Bound::Free
    }

    /// Records the rate that a target states to take in the answer to a request that was sent at
    /// `sent`; `None` if it names none.
    pub fn observe_rate(
        &mut self,
        target: &Target,
        rate: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> Change {
        self.statements.observe(&start(target), rate, sent, now)
    }

    /// Takes over a statement of a target that another host heard, unless a newer one is known.
    pub fn adopt(&mut self, start: &Start, statement: Statement) -> Change {
        self.statements.adopt(start, statement)
    }

    /// Returns the rate that a target states to take; `None` if it states none.
    pub fn rate(&self, target: &Target) -> Option<Rate> {
        if self.statements.is_empty() { None } else { self.statements.rate(&start(target)) }
    }

    /// Returns the last statements of all targets that have named a limit.
    pub fn statements(&self) -> impl Iterator<Item = (&Start, Statement)> {
        self.statements.list()
    }

    /// Returns whether no target can be limited.
    pub fn is_free(&self) -> bool {
        self.statements.is_empty() && self.limits.as_ref().is_some_and(BTreeMap::is_empty)
    }

    /// Counts a request to a target; returns the rate that the target states to take, if it does.
    pub fn count_sent(&mut self, target: &Target) -> Option<Rate> {
        if self.statements.is_empty() {
            return None;
        }
        self.statements.count_sent(&start(target))
    }

    /// Records what the registrations of targets state.
    pub fn observe_all<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, now: Instant) {
        for target in targets.filter(|target| target.cold_ms > 0) {
            self.phases.observe(&start(target), Duration::from_millis(target.cold_ms), now);
        }
    }

    /// Returns the remaining time of a target's cold phase; zero if it is not cold.
    pub fn left(&self, target: &Target, now: Instant) -> Duration {
        self.phases.left(&start(target), now)
    }

    /// Returns the remaining time of the cold phase of a start; zero if it is not cold.
    pub fn left_of(&self, start: &Start, now: Instant) -> Duration {
        self.phases.left(start, now)
    }

    /// Returns what a target may get: the least of what its cold phase and its statement allow.
    pub fn bound(&self, target: &Target, now: Instant) -> Bound {
        let cold = self.cold_bound(target, now);
        let Some(rate) = self.rate(target) else { return cold };
        let limit = Limit::of_rate(rate);
        match cold {
            Bound::Limited { limit: cold_limit, factor }
                if cold_limit.per_second() * f64::from(factor) <= limit.per_second() =>
            {
                cold
            }
            Bound::Free | Bound::Warm | Bound::Limited { .. } => {
                Bound::Limited { limit, factor: 1 }
            }
        }
    }

    /// Returns what a target may get because of its cold phase.
    ///
    /// While the limits are not known, a cold target counts as limited to one request a second.
    fn cold_bound(&self, target: &Target, now: Instant) -> Bound {
        let limit = match &self.limits {
            None => Limit { planned: 1, span: SPAN },
            Some(limits) => match limits.get(&target.service) {
                None => return Bound::Free,
                Some(limit) => *limit,
            },
        };
        if self.phases.starts().next().is_none() {
            return Bound::Warm;
        }
        match self.phases.stage(&start(target), limit.planned, target.slots, now) {
            Stage::Warm => Bound::Warm,
            Stage::Limited { factor } => Bound::Limited { limit, factor },
        }
    }

    /// Returns whether a target is limited now.
    pub fn is_limited(&self, target: &Target, now: Instant) -> bool {
        matches!(self.bound(target, now), Bound::Limited { .. })
    }

    /// Returns the targets that accept requests and are limited; `find` returns a registered target.
    ///
    /// Looks only at starts with a cold phase or a statement, since leaders answer hundreds of reports
    /// a second.
    pub fn limited<'a>(
        &self,
        find: impl Fn(&TargetId) -> Option<&'a Target>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Target> {
        let starts: BTreeSet<&Start> =
            self.phases.starts().chain(self.statements.list().map(|(start, _)| start)).collect();
        starts.into_iter().filter_map(move |(id, born_ms)| {
            let is_limited = |target: &&Target| {
                target.born_ms == *born_ms
                    && target.phase == Phase::Ready
                    && self.is_limited(target, now)
            };
            find(id).filter(is_limited)
        })
    }

    /// Drops the phases and limits that ended long ago, and the statements of targets that `find`
    /// does not return.
    pub fn expire<'a>(&mut self, find: impl Fn(&TargetId) -> Option<&'a Target>, now: Instant) {
        self.phases.expire(now);
        let is_known = |(id, born_ms): &Start| find(id).is_some_and(|t| t.born_ms == *born_ms);
        self.statements.retain(is_known, now);
    }
}
