//! Follows demand with starts, drains and stops of one pool's targets.

use super::{
    Demand, Offer, Phase, Pool, Target, Timing,
    allot::{Allotment, Need, allot},
    backoff::Backoff,
};
use catkinlatch_base::{Instant, TargetId, ZoneId, derive_value};
use std::collections::{BTreeMap, VecDeque};

/// How many targets are ordered in one round.
const MAX_STARTS: usize = 16;

derive_value! {
    /// One thing to do.
    #[derive(Eq)]
    pub enum Step {
        /// Order a target from this offer.
        Start(Offer),
        /// Give the target no new work.
        Drain(TargetId),
        /// Order the target's stop.
        Stop(TargetId),
    }
}

/// Follows demand with starts, drains and stops of one pool's targets.
///
/// ```
/// use catkinlatch_base::{Instant, Ratio};
/// use catkinlatch_fleet::{
///     placement::{Demand, Offer, Planner, Pool, Timing},
///     spend::Money,
/// };
///
/// let offer = |zone: &str| Offer {
///     zone: zone.parse().expect("the id is valid"),
///     price_class: "full".into(),
///     hourly: Money::from_micros(1_000_000),
/// };
/// let offers = vec![offer("zone-a"), offer("zone-b"), offer("zone-c")];
/// let pool = Pool { role: "draft".into(), live_floor: 2, max_targets: 9, offers };
/// let mut planner = Planner::new(Timing::default());
/// let demand =
///     Demand { live: 1.0, rollout: 0.0, queued: 0.0, trainer_idle: Ratio::new(0.0) };
/// assert_eq!(planner.next(&pool, &demand, &[], Instant::ZERO).len(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct Planner {
    timing: Timing,
    backoff: Backoff,
    /// Wants of the last `hold`, each higher than all that follow.
    wants: VecDeque<(Instant, u32)>,
}

impl Planner {
    /// Creates a planner that has seen no demand.
    pub fn new(timing: Timing) -> Self {
        Self { timing, backoff: Backoff::default(), wants: VecDeque::new() }
    }

    /// Records that the platform had nothing to give from an offer.
    pub fn unavailable(&mut self, zone: &ZoneId, price_class: &str, now: Instant) {
        self.backoff.fail(zone, price_class, &self.timing, now);
    }

    /// Records that the platform gave a target from an offer.
    pub fn available(&mut self, zone: &ZoneId, price_class: &str) {
        self.backoff.succeed(zone, price_class);
    }

    /// Returns what to do now; `targets` holds open start orders too.
    pub fn next(
        &mut self,
        pool: &Pool,
        demand: &Demand,
        targets: &[Target],
        now: Instant,
    ) -> Vec<Step> {
        let floor = demand.floor(pool);
        let wanted = self.hold(demand.wanted(pool), now);
        let need = Need { wanted, floor };
        let allotment = allot(pool, targets, need, &self.backoff, &self.timing, now);
        let starts = allotment.starts.iter().take(MAX_STARTS);
        let mut steps: Vec<Step> = starts.map(|offer| Step::Start((*offer).clone())).collect();
        self.reclaim(targets, &mut steps);
        self.stop(targets, &mut steps, now);
        self.drain(targets, &allotment, need, &mut steps, now);
        steps
    }

    /// Returns the highest want of the last `hold`.
    fn hold(&mut self, wanted: u32, now: Instant) -> u32 {
        let old = |at: Instant| now.saturating_duration_since(at) > self.timing.hold;
        while self.wants.front().is_some_and(|(at, _)| old(*at)) {
            self.wants.pop_front();
        }
        while self.wants.back().is_some_and(|(_, earlier)| *earlier <= wanted) {
            self.wants.pop_back();
        }
        self.wants.push_back((now, wanted));
        self.wants.front().map_or(wanted, |(_, highest)| *highest)
    }

    /// Drains targets that the platform takes back.
    fn reclaim(&self, targets: &[Target], steps: &mut Vec<Step>) {
        let leaving =
            targets.iter().filter(|t| t.is_reclaimed && !matches!(t.phase, Phase::Draining { .. }));
        steps.extend(leaving.filter_map(|target| target.id.clone()).map(Step::Drain));
    }

    /// Stops targets that have drained.
    fn stop(&self, targets: &[Target], steps: &mut Vec<Step>, now: Instant) {
        for target in targets {
            let Phase::Draining { since } = target.phase else { continue };
            let drained = now.saturating_duration_since(since) >= self.timing.drain;
            if target.is_idle || drained {
                steps.extend(target.id.clone().map(Step::Stop));
            }
        }
    }

    /// Drains targets that are not needed, one after the other, while the rest is enough.
    fn drain(
        &self,
        targets: &[Target],
        allotment: &Allotment<'_>,
        need: Need,
        steps: &mut Vec<Step>,
        now: Instant,
    ) {
        let mut ready: Vec<&Target> = targets.iter().filter(|t| t.is_ready()).collect();
        for (_, target) in targets.iter().enumerate().filter(|(n, _)| !allotment.kept.contains(n)) {
            let Some(id) = target.id.as_ref().filter(|_| target.is_ready()) else { continue };
            let age = now.saturating_duration_since(target.started);
            if age < self.timing.min_lifetime || !is_enough_without(&ready, target, need) {
                continue;
            }
            ready.retain(|other| other.id != target.id);
            steps.push(Step::Drain(id.clone()));
        }
    }
}

/// Returns whether the ready targets suffice without one of them, also when a zone is lost then.
fn is_enough_without(ready: &[&Target], without: &Target, need: Need) -> bool {
    let rest: Vec<&&Target> = ready.iter().filter(|target| target.id != without.id).collect();
    let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
    rest.iter().for_each(|target| *zones.entry(&target.zone).or_default() += 1);
    let count = u32::try_from(rest.len()).unwrap_or(u32::MAX);
    let largest = if zones.len() < 2 { 0 } else { zones.values().copied().max().unwrap_or(0) };
    count >= need.wanted && count - largest >= need.floor
}
