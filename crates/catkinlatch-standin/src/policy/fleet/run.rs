//! Simulates one policy on a load and a market.

use super::{
    BOOT_TIME, Load, Market, Outcome, TICK,
    deployment::{FULL, SPOT},
    load::Work,
    market::NOTICE_TIME,
};
use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, Ratio, TargetId, ZoneId};
use catkinlatch_fleet::placement::{Demand, Offer, Phase, Planner, Pool, Step, Target, Timing};
use derive_more::Display;
use std::{collections::BTreeMap, time::Duration};

/// Time constant of the moving average of the live load.
const SMOOTHING_TIME: Duration = Duration::from_secs(60);

/// Time from the drain of a target until it is idle.
const DRAIN_TIME: Duration = Duration::from_secs(20);

/// Time allowed to start or replace targets after the start of the run, a loss or its notice.
///
/// The live floor may be exposed to a further loss during this time.
const REPLACEMENT_TIME: Duration = Duration::from_secs(180);

/// A placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Policy {
    /// The production placement.
    #[display("placement")]
    Placement,
    /// The production placement without spot targets.
    #[display("on-demand only")]
    OnDemand,
    /// Constantly as many targets at full price as the peak needs.
    #[display("fixed fleet")]
    Fixed,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Placement, Self::OnDemand, Self::Fixed];
}

/// An event of the run.
#[derive(Clone, Debug)]
enum Event {
    /// Tick with this number.
    Tick(u32),
    /// The target with this number has booted.
    Ready(u64),
    /// The spot targets of a zone will be reclaimed.
    Notice(ZoneId),
    /// The spot targets of a zone are reclaimed.
    Reclaimed(ZoneId),
}

/// The state of a run.
struct Run<'a> {
    pool: Pool,
    load: &'a Load,
    market: &'a Market,
    clock: Clock<Event>,
    planner: Planner,
    targets: BTreeMap<u64, Target>,
    /// Zones with an announced reclaim.
    noticed: Vec<ZoneId>,
    /// Moving average of the live load, in busy targets.
    smoothed_live: f64,
    /// Number of the last started target.
    last_number: u64,
    /// End of the time allowed to replace lost targets.
    replacement_deadline: Instant,
    /// Whether the last loss came within the time allowed to replace an earlier one.
    is_second_loss: bool,
    outcome: Outcome,
}

/// Simulates one policy; [`Outcome::cheapest_spend`] is left at zero.
pub fn run(policy: Policy, pool: &Pool, load: &Load, market: &Market) -> Outcome {
    let mut pool = pool.clone();
    if policy != Policy::Placement {
        pool.offers.retain(|offer| offer.price_class == FULL);
    }
    let mut run = Run {
        pool,
        load,
        market,
        clock: Clock::new(),
        planner: Planner::new(Timing::default()),
        targets: BTreeMap::new(),
        noticed: Vec::new(),
        smoothed_live: load.ticks.first().map_or(0.0, |work| work.live),
        last_number: 0,
        replacement_deadline: Instant::ZERO + REPLACEMENT_TIME,
        is_second_loss: false,
        outcome: Outcome::default(),
    };
    run.schedule_events();
    let peak = run.peak();
    while let Some(event) = run.clock.next() {
        match event {
            Event::Tick(tick) => run.tick(policy, peak, tick),
            Event::Ready(number) => {
                if let Some(target) = run.targets.get_mut(&number) {
                    target.phase = Phase::Ready;
                }
            }
            Event::Notice(zone) => run.handle_notice(zone),
            Event::Reclaimed(zone) => run.stop_reclaimed(&zone),
        }
    }
    let remaining: Vec<u64> = run.targets.keys().copied().collect();
    remaining.into_iter().for_each(|number| run.stop_target(number));
    run.outcome
}

impl Run<'_> {
    fn schedule_events(&mut self) {
        for reclaim in &self.market.reclaims {
            let lost = Instant::ZERO + TICK * reclaim.tick;
            if reclaim.has_notice {
                let noticed = Instant::ZERO + (TICK * reclaim.tick).saturating_sub(NOTICE_TIME);
                self.clock.schedule_at(noticed, Event::Notice(reclaim.zone.clone()));
            }
            self.clock.schedule_at(lost, Event::Reclaimed(reclaim.zone.clone()));
        }
        let ticks = u32::try_from(self.load.ticks.len()).unwrap_or(u32::MAX);
        (0..ticks).for_each(|n| self.clock.schedule_at(Instant::ZERO + TICK * n, Event::Tick(n)));
    }

    /// Returns the peaks of live and rollout load over all ticks.
    fn peak(&self) -> Demand {
        let most = |part: fn(&Work) -> f64| self.load.ticks.iter().map(part).fold(0.0, f64::max);
        demand(most(|work| work.live), most(|work| work.rollout))
    }

    fn tick(&mut self, policy: Policy, peak: Demand, tick: u32) {
        let work = self.load.ticks[tick as usize];
        let weight = TICK.as_secs_f64() / SMOOTHING_TIME.as_secs_f64();
        self.smoothed_live += (work.live - self.smoothed_live) * weight;
        self.record_tick(work);
        let demand =
            if policy == Policy::Fixed { peak } else { demand(self.smoothed_live, work.rollout) };
        let now = self.clock.now();
        self.targets.values_mut().for_each(|target| {
            target.is_idle =
                matches!(target.phase, Phase::Draining { since } if now - since >= DRAIN_TIME);
        });
        let targets: Vec<Target> = self.targets.values().cloned().collect();
        for step in self.planner.next(&self.pool, &demand, &targets, now) {
            self.apply_step(step, tick);
        }
    }

    fn apply_step(&mut self, step: Step, tick: u32) {
        let now = self.clock.now();
        match step {
            Step::Start(offer) => self.start_target(&offer, tick),
            Step::Drain(id) => {
                let target = self.targets.values_mut().find(|t| t.id.as_ref() == Some(&id));
                if let Some(target) = target {
                    target.phase = Phase::Draining { since: now };
                }
            }
            Step::Stop(id) => {
                let found = self.targets.iter().find(|(_, t)| t.id.as_ref() == Some(&id));
                if let Some(number) = found.map(|(number, _)| *number) {
                    self.stop_target(number);
                }
            }
        }
    }

    fn start_target(&mut self, offer: &Offer, tick: u32) {
        let now = self.clock.now();
        let is_spot = offer.price_class == SPOT;
        let is_noticed = self.noticed.contains(&offer.zone);
        if is_spot && (is_noticed || !self.market.has_spot(&offer.zone, tick)) {
            self.planner.unavailable(&offer.zone, &offer.price_class, now);
            return;
        }
        self.planner.available(&offer.zone, &offer.price_class);
        self.last_number += 1;
        self.outcome.starts += 1;
        let id = format!("target-{}", self.last_number).parse::<TargetId>();
        let target = Target {
            id: Some(id.expect("the id is valid")),
            zone: offer.zone.clone(),
            price_class: offer.price_class.clone(),
            phase: Phase::Starting,
            started: now,
            is_idle: false,
            is_reclaimed: false,
        };
        self.targets.insert(self.last_number, target);
        self.clock.schedule_after(BOOT_TIME, Event::Ready(self.last_number));
    }

    fn handle_notice(&mut self, zone: ZoneId) {
        let is_affected = |t: &&mut Target| t.zone == zone && t.price_class == SPOT;
        let mut is_loss = false;
        for target in self.targets.values_mut().filter(is_affected) {
            target.is_reclaimed = true;
            is_loss = true;
        }
        self.record_loss(is_loss);
        self.noticed.push(zone);
    }

    fn stop_reclaimed(&mut self, zone: &ZoneId) {
        let is_noticed = self.noticed.contains(zone);
        self.noticed.retain(|noticed| noticed != zone);
        let is_affected = |t: &Target| t.zone == *zone && t.price_class == SPOT;
        let lost: Vec<u64> = self
            .targets
            .iter()
            .filter(|(_, t)| is_affected(t))
            .map(|(number, _)| *number)
            .collect();
        self.record_loss(!is_noticed && !lost.is_empty());
        lost.into_iter().for_each(|number| self.stop_target(number));
    }

    fn record_loss(&mut self, is_loss: bool) {
        if is_loss {
            self.outcome.losses += 1;
            self.is_second_loss = self.clock.now() <= self.replacement_deadline;
            self.replacement_deadline = self.clock.now() + REPLACEMENT_TIME;
        }
    }

    /// Removes a target and adds its cost to the spend.
    fn stop_target(&mut self, number: u64) {
        let Some(target) = self.targets.remove(&number) else { return };
        let time = self.clock.now().saturating_duration_since(target.started);
        if let Some(offer) = target.offer(&self.pool) {
            self.outcome.spend += offer.hourly.cost_of(time);
        }
    }

    /// Records the work of a tick, and whether the live floor holds and would survive a loss.
    ///
    /// Nothing is recorded during the first [`REPLACEMENT_TIME`] of the run.
    fn record_tick(&mut self, work: Work) {
        let serving = |t: &&Target| t.phase == Phase::Ready;
        let ready: Vec<&Target> = self.targets.values().filter(serving).collect();
        let is_spot = |t: &&&Target| t.price_class == SPOT;
        let (count, spot) = (ready.len() as f64, ready.iter().filter(is_spot).count() as f64);
        let seconds = TICK.as_secs_f64();
        let live = work.live.min(count);
        let rollout = work.rollout.min(count - live);
        let done = (live + rollout) * seconds;
        let floor = self.pool.live_floor as usize;
        let spot_by_zone =
            self.market.availability.keys().map(|zone| {
                ready.iter().filter(is_spot).filter(|target| target.zone == *zone).count()
            });
        let largest = spot_by_zone.max().unwrap_or(0);
        let outcome = &mut self.outcome;
        if self.clock.now() < Instant::ZERO + REPLACEMENT_TIME {
            return;
        }
        outcome.live += work.live * seconds;
        outcome.live_shortfall += (work.live - live) * seconds;
        outcome.rollout += work.rollout * seconds;
        outcome.rollout_shortfall += (work.rollout - rollout) * seconds;
        outcome.work += done;
        outcome.spot_work += if count > 0.0 { done * spot / count } else { 0.0 };
        let is_replacing = self.clock.now() <= self.replacement_deadline;
        if ready.len() < floor && is_replacing && self.is_second_loss {
            outcome.below_floor_after_two_losses += TICK;
        } else if ready.len() < floor {
            outcome.below_floor += TICK;
        } else if ready.len() - largest < floor && !is_replacing {
            outcome.floor_exposed += TICK;
        }
    }
}

fn demand(live: f64, rollout: f64) -> Demand {
    Demand { live, rollout, queued: 0.0, trainer_idle: Ratio::new(0.0) }
}
