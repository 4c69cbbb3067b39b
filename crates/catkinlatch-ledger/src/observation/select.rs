//! Selection of the target that is expected to finish a request first.

use super::Table;
use crate::{Balancer, Target};
use catkinlatch_base::{Instant, TargetId, ZoneId};
use std::collections::BTreeSet;

/// Targets whose expected time is within this factor of the shortest count as equal.
///
/// Senders share one digest and would otherwise all select the same target until the next one.
const EQUAL_FACTOR: f64 = 1.2;

/// The weight of the assumption that targets are idle, beside what is known of all of them.
const IDLE_WEIGHT: f64 = 0.5;

/// What the selection of a target depends on besides the targets.
pub struct Selection<'a> {
    /// What is known of targets.
    pub table: &'a Table,
    /// The sender's own requests in flight and failures.
    pub balancer: &'a Balancer,
    /// The sender's availability zone.
    pub zone: &'a ZoneId,
    /// The targets that the request was sent to before.
    pub tried: &'a BTreeSet<TargetId>,
    /// The current time.
    pub now: Instant,
    /// A random number from 0 up to but not including 1.
    pub random: f64,
}

/// Returns the target that should serve a request, or `None` if no target is ready and untried.
///
/// The expected time of a target is (work before the request / slots + 1) x pace x usual time,
/// lengthened by failures; the usual time is that of the service and so equal for all. Targets in
/// cooldown, and those that failed this sender just now, come last. Among targets of about equal
/// expected time, those in the sender's zone come first, and one of these is drawn.
pub fn select<'a>(
    selection: &Selection<'_>,
    targets: impl Iterator<Item = &'a Target>,
    is_in_cooldown: impl Fn(&Target) -> bool,
) -> Option<&'a Target> {
    let Selection { table, balancer, zone, tried, now, random } = *selection;
    let candidates = targets.filter(|target| target.is_ready() && !tried.contains(&target.id));
    let (cooling, usable): (Vec<&Target>, Vec<&Target>) =
        candidates.partition(|target| is_in_cooldown(target));
    let candidates = if usable.is_empty() { cooling } else { usable };
    let is_backing_off = |target: &&Target| balancer.is_backing_off(&target.id, now);
    let healthy: Vec<&Target> =
        candidates.iter().copied().filter(|target| !is_backing_off(target)).collect();
    if healthy.is_empty() {
        return balancer.pick(candidates.into_iter(), zone, tried, now);
    }
    let usual = usual_load(table, &healthy, now);
    let expected: Vec<f64> = healthy
        .iter()
        .map(|target| {
            let estimate = table.estimate(target);
            let load = load(selection, target, usual);
            let pace = estimate.map_or(1.0, |estimate| estimate.pace(now));
            let failures = estimate.map_or(1.0, |estimate| estimate.failure_factor(now));
            (load / f64::from(target.slots.max(1)) + 1.0) * pace * failures
        })
        .collect();
    let limit = expected.iter().copied().fold(f64::INFINITY, f64::min) * EQUAL_FACTOR;
    let equal = healthy.iter().zip(&expected).filter(|(_, time)| **time <= limit);
    let equal: Vec<&Target> = equal.map(|(target, _)| *target).collect();
    let near: Vec<&Target> = equal.iter().copied().filter(|target| target.zone == *zone).collect();
    let drawn = if near.is_empty() { &equal } else { &near };
    drawn.get((random * drawn.len() as f64) as usize).copied()
}

/// Returns the estimated share of a target's slots that are free, from 0 to 1.
///
/// A target that no sender heard of for a while counts as idle: all senders that have the leader's
/// guidance would hear of its answers if it had requests.
pub fn free_share(selection: &Selection<'_>, target: &Target) -> f64 {
    let usual = usual_load(selection.table, &[target], selection.now);
    (1.0 - load(selection, target, usual) / f64::from(target.slots.max(1))).max(0.0)
}

/// Returns the estimated number of requests at a target, with this sender's own.
fn load(selection: &Selection<'_>, target: &Target, usual: f64) -> f64 {
    let own = f64::from(selection.balancer.running(&target.id));
    let estimate = selection.table.estimate(target);
    own + estimate.map_or(usual, |estimate| estimate.expected_others(usual, selection.now))
}

/// Returns the load of other senders that is assumed where it is not known: the mean of what is
/// known of all targets.
fn usual_load(table: &Table, targets: &[&Target], now: Instant) -> f64 {
    let estimates = targets.iter().filter_map(|target| table.estimate(target));
    let known = estimates.fold((0.0, IDLE_WEIGHT), |(load, total), estimate| {
        let weight = estimate.load_weight(now);
        (load + weight * estimate.others(), total + weight)
    });
    known.0 / known.1
}
