//! Selection of a target where some are limited.

use crate::{Balancer, Target};
use catkinlatch_base::{Instant, TargetId, ZoneId};
use std::collections::BTreeSet;

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    /// The target is not limited.
    Free,
    /// The target is limited, and the sender has allowance for it.
    Limited,
    /// The target is limited, and the sender has no allowance for it.
    Closed,
}

/// The selected target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pick<'a> {
    /// The target that gets the request; `None` if there is none without allowance for a limited one.
    pub target: Option<&'a Target>,
    /// The limited target that the sender should ask allowance for, if no other one has room.
    pub closed: Option<&'a Target>,
}

impl<'a> Pick<'a> {
    /// Returns the target that the sender should ask allowance for.
    ///
    /// A share is lost to all other senders until its lease ends, so where targets state the rate that
    /// they take a sender asks only if no target is left for its request.
    pub fn wanted(&self, states_rate: impl Fn(&Target) -> bool) -> Option<&'a Target> {
        self.closed.filter(|closed| self.target.is_none() || !states_rate(closed))
    }
}

/// Selects a target like [`Balancer::pick`], but a limited one only if no other one has room.
pub fn pick<'a>(
    balancer: &Balancer,
    targets: impl Iterator<Item = &'a Target>,
    mut entrance: impl FnMut(&Target) -> Entrance,
    zone: &ZoneId,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Pick<'a> {
    let all: Vec<(&Target, Entrance)> = targets.map(|target| (target, entrance(target))).collect();
    let best = |wanted: Entrance| {
        let fitting = all.iter().filter(|(_, entrance)| *entrance == wanted);
        balancer.pick(fitting.map(|(target, _)| *target), zone, tried, now)
    };
    let free = best(Entrance::Free);
    if free.is_some_and(|free| balancer.has_room(free, now)) {
        return Pick { target: free, closed: None };
    }
    // A limited target that is backing off is no better than another one without room.
    let limited = best(Entrance::Limited);
    let fresh = limited.filter(|limited| balancer.has_room(limited, now));
    let closed = if fresh.is_some() { None } else { best(Entrance::Closed) };
    Pick { target: fresh.or(free).or(limited), closed }
}
