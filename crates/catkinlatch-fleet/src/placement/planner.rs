//! Plans the starts, drains and stops of one pool's targets.

use super::{
    Demand, Offer, Phase, Pool, Target, Timing,
    allot::{Allotment, Requirement, allot},
    backoff::Backoff,
};
use catkinlatch_base::{Instant, TargetId, ZoneId, derive_value};
use std::collections::{BTreeMap, VecDeque};

/// The most targets that are ordered in one round.
const MAX_STARTS: usize = 16;

derive_value! {
    /// One step of a plan.
    #[derive(Eq)]
    pub enum Step {
        /// Order a target from this offer.
        Start(Offer),
        /// Stop sending new work to the target.
        Drain(TargetId),
        /// Order the stop of the target.
        Stop(TargetId),
    }
}

/// Plans the starts, drains and stops of one pool's targets, so that their number follows demand.
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
    /// The wanted numbers of the last `hold` period, each higher than all that follow.
    recent_wanted: VecDeque<(Instant, u32)>,
}

impl Planner {
    /// Creates a planner without a history of demand.
    pub fn new(timing: Timing) -> Self {
        Self { timing, backoff: Backoff::default(), recent_wanted: VecDeque::new() }
    }

    /// Records that the platform had no capacity for an offer.
    pub fn unavailable(&mut self, zone: &ZoneId, price_class: &str, now: Instant) {
        self.backoff.fail(zone, price_class, &self.timing, now);
    }

    /// Records that the platform provided a target from an offer.
    pub fn available(&mut self, zone: &ZoneId, price_class: &str) {
        self.backoff.succeed(zone, price_class);
    }

    /// Returns the steps to take now.
    ///
    /// `targets` must include open start orders.
    pub fn next(
        &mut self,
        pool: &Pool,
        demand: &Demand,
        targets: &[Target],
        now: Instant,
    ) -> Vec<Step> {
        let floor = demand.floor(pool);
        let wanted = self.highest_recent(demand.wanted(pool), now);
        let requirement = Requirement { wanted, floor };
        let allotment = allot(pool, targets, requirement, &self.backoff, &self.timing, now);
        let starts = allotment.starts.iter().take(MAX_STARTS);
        let mut steps: Vec<Step> = starts.map(|offer| Step::Start((*offer).clone())).collect();
        self.drain_reclaimed(targets, &mut steps);
        self.stop_drained(targets, &mut steps, now);
        self.drain_surplus(targets, &allotment, requirement, &mut steps, now);
        steps
    }

    /// Records a wanted number, and returns the highest one of the last `hold` period.
    fn highest_recent(&mut self, wanted: u32, now: Instant) -> u32 {
        let old = |at: Instant| now.saturating_duration_since(at) > self.timing.hold;
        while self.recent_wanted.front().is_some_and(|(at, _)| old(*at)) {
            self.recent_wanted.pop_front();
        }
        while self.recent_wanted.back().is_some_and(|(_, earlier)| *earlier <= wanted) {
            self.recent_wanted.pop_back();
        }
        self.recent_wanted.push_back((now, wanted));
        self.recent_wanted.front().map_or(wanted, |(_, highest)| *highest)
    }

    /// Drains targets that the platform is reclaiming.
    fn drain_reclaimed(&self, targets: &[Target], steps: &mut Vec<Step>) {
        let reclaimed =
            targets.iter().filter(|t| t.is_reclaimed && !matches!(t.phase, Phase::Draining { .. }));
        steps.extend(reclaimed.filter_map(|target| target.id.clone()).map(Step::Drain));
    }

    /// Stops targets that are idle after draining, or whose drain timeout has expired.
    fn stop_drained(&self, targets: &[Target], steps: &mut Vec<Step>, now: Instant) {
        for target in targets {
            let Phase::Draining { since } = target.phase else { continue };
            let drained = now.saturating_duration_since(since) >= self.timing.drain;
            if target.is_idle || drained {
                steps.extend(target.id.clone().map(Step::Stop));
            }
        }
    }

    /// Drains surplus targets as long as the remaining ones suffice.
    fn drain_surplus(
        &self,
        targets: &[Target],
        allotment: &Allotment<'_>,
        requirement: Requirement,
        steps: &mut Vec<Step>,
        now: Instant,
    ) {
        let mut ready: Vec<&Target> = targets.iter().filter(|t| t.is_ready()).collect();
        for (_, target) in targets.iter().enumerate().filter(|(n, _)| !allotment.kept.contains(n)) {
            let Some(id) = target.id.as_ref().filter(|_| target.is_ready()) else { continue };
            let age = now.saturating_duration_since(target.started);
            if age < self.timing.min_lifetime || !suffices_without(&ready, target, requirement) {
                continue;
            }
            ready.retain(|other| other.id != target.id);
            steps.push(Step::Drain(id.clone()));
        }
    }
}

/// Returns whether the ready targets meet the requirement without one of them, including the floor
/// when a zone is lost.
fn suffices_without(ready: &[&Target], without: &Target, requirement: Requirement) -> bool {
    let rest: Vec<&&Target> = ready.iter().filter(|target| target.id != without.id).collect();
    let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
    rest.iter().for_each(|target| *zones.entry(&target.zone).or_default() += 1);
    let count = u32::try_from(rest.len()).unwrap_or(u32::MAX);
    let largest = if zones.len() < 2 { 0 } else { zones.values().copied().max().unwrap_or(0) };
    count >= requirement.wanted && count - largest >= requirement.floor
}
