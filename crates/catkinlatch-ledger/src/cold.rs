//! Which targets are cold and how much they may get, as one host knows it.

mod pick;

pub use self::pick::{Entrance, Pick, pick};

use crate::{Target, registry::Phase};
use catkinlatch_base::{Instant, Rate, ServiceId, TargetId};
use catkinlatch_route::cold::{Change, Limit, Phases, Stage, Statements};
use std::{collections::BTreeMap, time::Duration};

/// One start of a target: its id, and when it started in milliseconds since the Unix epoch.
pub type Start = (TargetId, u64);

/// Returns the start of a target.
pub fn start(target: &Target) -> Start {
    (target.id.clone(), target.born_ms)
}

/// What a target may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The target's service does not limit what cold targets get.
    Free,
    /// The target is warm, and may turn cold at any time.
    Warm,
    /// The target is cold, or was until recently.
    Limited {
        /// Number of requests in a span of one second that all senders together plan for.
        planned: u32,
        /// Factor on the plan and on all shares of it.
        factor: u32,
    },
}

/// The limits of services, and the cold phases of their targets.
#[derive(Clone, Debug, Default)]
pub struct ColdTargets {
    limits: Option<BTreeMap<ServiceId, Limit>>,
    phases: Phases<Start>,
    statements: Statements<Start>,
}

impl ColdTargets {
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

    /// Returns what a target may get.
    ///
    /// While the limits are not known, a cold target counts as limited to one request a second.
    pub fn bound(&self, target: &Target, now: Instant) -> Bound {
        let planned = match &self.limits {
            None => 1,
            Some(limits) => match limits.get(&target.service) {
                None => return Bound::Free,
                Some(limit) => limit.planned,
            },
        };
        if self.phases.starts().next().is_none() {
            return Bound::Warm;
        }
        match self.phases.stage(&start(target), planned, target.slots, now) {
            Stage::Warm => Bound::Warm,
            Stage::Limited { factor } => Bound::Limited { planned, factor },
        }
    }

    /// Returns whether a target is limited now.
    pub fn is_limited(&self, target: &Target, now: Instant) -> bool {
        matches!(self.bound(target, now), Bound::Limited { .. })
    }

    /// Returns the targets that accept requests and are limited; `find` returns a registered target.
    ///
    /// Looks only at starts with a cold phase, since leaders answer hundreds of reports a second.
    pub fn limited<'a>(
        &self,
        find: impl Fn(&TargetId) -> Option<&'a Target>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Target> {
        self.phases.starts().filter_map(move |(id, born_ms)| {
            let is_limited = |target: &&Target| {
                target.born_ms == *born_ms
                    && target.phase == Phase::Ready
                    && self.is_limited(target, now)
            };
            find(id).filter(is_limited)
        })
    }

    /// Drops the phases that ended long ago.
    pub fn expire(&mut self, now: Instant) {
        self.phases.expire(now);
    }
}
