//! Selection of a target where some are cold.

use crate::{Balancer, Target};
use catkinlatch_base::{Instant, TargetId, ZoneId};
use std::collections::BTreeSet;

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    /// The target is warm.
    Warm,
    /// The target is cold, and the sender has allowance for it.
    Cold,
    /// The target is cold, and the sender has no allowance for it.
    Closed,
}

/// The selected target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pick<'a> {
    /// The target that gets the request; `None` if there is none without allowance for a cold one.
    pub target: Option<&'a Target>,
    /// The cold target that the sender should ask allowance for, if no other one has room.
    pub closed: Option<&'a Target>,
}

/// Selects a target like [`Balancer::pick`], but a cold one only if no warm one has room.
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
    let warm = best(Entrance::Warm);
    if warm.is_some_and(|warm| balancer.has_room(warm, now)) {
        return Pick { target: warm, closed: None };
    }
    // A cold target that is backing off is no better than a warm one without room.
    let cold = best(Entrance::Cold);
    let fresh = cold.filter(|cold| balancer.has_room(cold, now));
    let closed = if fresh.is_some() { None } else { best(Entrance::Closed) };
    Pick { target: fresh.or(warm).or(cold), closed }
}
