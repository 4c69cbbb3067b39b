//! Runs one policy over a load and a market on simulated time.

use super::{
    BOOT, Load, Market, Outcome, TICK,
    deployment::{CHEAP, FULL},
    load::Work,
    market::NOTICE,
};
use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, Ratio, TargetId, ZoneId};
use catkinlatch_fleet::placement::{Demand, Offer, Phase, Planner, Pool, Step, Target, Timing};
use derive_more::Display;
use std::{collections::BTreeMap, time::Duration};

/// The time constant of the measured live load.
const SMOOTHING: Duration = Duration::from_secs(60);

/// How long a draining target still works.
const DRAIN: Duration = Duration::from_secs(20);

/// How long after the start, a loss or its notice the live floor may be open to a further loss.
const REFILL: Duration = Duration::from_secs(180);

/// A way to place targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Policy {
    /// The product's placement.
    #[display("placement")]
    Placement,
    /// The product's placement without cheap targets.
    #[display("on-demand only")]
    OnDemand,
    /// As many targets of full price as the peak needs, all the time.
    #[display("fixed fleet")]
    Fixed,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Placement, Self::OnDemand, Self::Fixed];
}

/// What happens in the run.
#[derive(Clone, Debug)]
enum Event {
    Tick(u32),
    Ready(u64),
    Notice(ZoneId),
    Lost(ZoneId),
}

/// The state of a run.
struct Run<'a> {
    pool: Pool,
    load: &'a Load,
    market: &'a Market,
    clock: Clock<Event>,
    planner: Planner,
    targets: BTreeMap<u64, Target>,
    /// Zones whose cheap targets are under notice.
    noticed: Vec<ZoneId>,
    live: f64,
    number: u64,
    refilled: Instant,
    /// Whether the last loss came before an earlier one was made good.
    is_second_loss: bool,
    outcome: Outcome,
}

/// Runs one policy and returns what came of it.
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
        live: load.ticks.first().map_or(0.0, |work| work.live),
        number: 0,
        refilled: Instant::ZERO + REFILL,
        is_second_loss: false,
        outcome: Outcome::default(),
    };
    run.schedule();
    let peak = run.peak();
    while let Some(event) = run.clock.next() {
        match event {
            Event::Tick(tick) => run.tick(policy, peak, tick),
            Event::Ready(number) => {
                if let Some(target) = run.targets.get_mut(&number) {
                    target.phase = Phase::Ready;
                }
            }
            Event::Notice(zone) => run.notice(zone),
            Event::Lost(zone) => run.lose(&zone),
        }
    }
    let ends: Vec<u64> = run.targets.keys().copied().collect();
    ends.into_iter().for_each(|number| run.end(number));
    run.outcome
}

impl Run<'_> {
    fn schedule(&mut self) {
        for reclaim in &self.market.reclaims {
            let lost = Instant::ZERO + TICK * reclaim.tick;
            if reclaim.has_notice {
                let noticed = Instant::ZERO + (TICK * reclaim.tick).saturating_sub(NOTICE);
                self.clock.at(noticed, Event::Notice(reclaim.zone.clone()));
            }
            self.clock.at(lost, Event::Lost(reclaim.zone.clone()));
        }
        let ticks = u32::try_from(self.load.ticks.len()).unwrap_or(u32::MAX);
        (0..ticks).for_each(|n| self.clock.at(Instant::ZERO + TICK * n, Event::Tick(n)));
    }

    /// Returns the most targets that any tick needs.
    fn peak(&self) -> Demand {
        let most = |part: fn(&Work) -> f64| self.load.ticks.iter().map(part).fold(0.0, f64::max);
        demand(most(|work| work.live), most(|work| work.rollout))
    }

    fn tick(&mut self, policy: Policy, peak: Demand, tick: u32) {
        let work = self.load.ticks[tick as usize];
        let weight = TICK.as_secs_f64() / SMOOTHING.as_secs_f64();
        self.live += (work.live - self.live) * weight;
        self.count(work);
        let demand = if policy == Policy::Fixed { peak } else { demand(self.live, work.rollout) };
        let now = self.clock.now();
        self.targets.values_mut().for_each(|target| {
            target.is_idle =
                matches!(target.phase, Phase::Draining { since } if now - since >= DRAIN);
        });
        let targets: Vec<Target> = self.targets.values().cloned().collect();
        for step in self.planner.next(&self.pool, &demand, &targets, now) {
            self.act(step, tick);
        }
    }

    fn act(&mut self, step: Step, tick: u32) {
        let now = self.clock.now();
        match step {
            Step::Start(offer) => self.start(&offer, tick),
            Step::Drain(id) => {
                let target = self.targets.values_mut().find(|t| t.id.as_ref() == Some(&id));
                if let Some(target) = target {
                    target.phase = Phase::Draining { since: now };
                }
            }
            Step::Stop(id) => {
                let found = self.targets.iter().find(|(_, t)| t.id.as_ref() == Some(&id));
                if let Some(number) = found.map(|(number, _)| *number) {
                    self.end(number);
                }
            }
        }
    }

    fn start(&mut self, offer: &Offer, tick: u32) {
        let now = self.clock.now();
        let is_cheap = offer.price_class == CHEAP;
        let is_noticed = self.noticed.contains(&offer.zone);
        if is_cheap && (is_noticed || !self.market.is_up(&offer.zone, tick)) {
            self.planner.unavailable(&offer.zone, &offer.price_class, now);
            return;
        }
        self.planner.available(&offer.zone, &offer.price_class);
        self.number += 1;
        self.outcome.starts += 1;
        let id = format!("target-{}", self.number).parse::<TargetId>();
        let target = Target {
            id: Some(id.expect("the id is valid")),
            zone: offer.zone.clone(),
            price_class: offer.price_class.clone(),
            phase: Phase::Starting,
            started: now,
            is_idle: false,
            is_reclaimed: false,
        };
        self.targets.insert(self.number, target);
        self.clock.after(BOOT, Event::Ready(self.number));
    }

    fn notice(&mut self, zone: ZoneId) {
        let is_of = |t: &&mut Target| t.zone == zone && t.price_class == CHEAP;
        let mut is_loss = false;
        for target in self.targets.values_mut().filter(is_of) {
            target.is_reclaimed = true;
            is_loss = true;
        }
        self.count_loss(is_loss);
        self.noticed.push(zone);
    }

    fn lose(&mut self, zone: &ZoneId) {
        let is_noticed = self.noticed.contains(zone);
        self.noticed.retain(|noticed| noticed != zone);
        let is_of = |t: &Target| t.zone == *zone && t.price_class == CHEAP;
        let lost: Vec<u64> =
            self.targets.iter().filter(|(_, t)| is_of(t)).map(|(number, _)| *number).collect();
        self.count_loss(!is_noticed && !lost.is_empty());
        lost.into_iter().for_each(|number| self.end(number));
    }

    fn count_loss(&mut self, is_loss: bool) {
        if is_loss {
            self.outcome.losses += 1;
            self.is_second_loss = self.clock.now() <= self.refilled;
            self.refilled = self.clock.now() + REFILL;
        }
    }

    /// Ends a target and counts what it cost.
    fn end(&mut self, number: u64) {
        let Some(target) = self.targets.remove(&number) else { return };
        let time = self.clock.now().saturating_duration_since(target.started);
        if let Some(offer) = target.offer(&self.pool) {
            self.outcome.spend += offer.hourly.cost_of(time);
        }
    }

    /// Counts a tick's work, and what the loss of one zone's cheap targets would do.
    fn count(&mut self, work: Work) {
        let serving = |t: &&Target| t.phase == Phase::Ready;
        let ready: Vec<&Target> = self.targets.values().filter(serving).collect();
        let is_cheap = |t: &&&Target| t.price_class == CHEAP;
        let (count, cheap) = (ready.len() as f64, ready.iter().filter(is_cheap).count() as f64);
        let seconds = TICK.as_secs_f64();
        let live = work.live.min(count);
        let rollout = work.rollout.min(count - live);
        let done = (live + rollout) * seconds;
        let floor = self.pool.live_floor as usize;
        let most = self.market.up.keys().map(|zone| {
            ready.iter().filter(is_cheap).filter(|target| target.zone == *zone).count()
        });
        let largest = most.max().unwrap_or(0);
        let outcome = &mut self.outcome;
        if self.clock.now() < Instant::ZERO + REFILL {
            return;
        }
        outcome.live += work.live * seconds;
        outcome.live_short += (work.live - live) * seconds;
        outcome.rollout += work.rollout * seconds;
        outcome.rollout_short += (work.rollout - rollout) * seconds;
        outcome.work += done;
        outcome.cheap_work += if count > 0.0 { done * cheap / count } else { 0.0 };
        let is_refilling = self.clock.now() <= self.refilled;
        if ready.len() < floor && is_refilling && self.is_second_loss {
            outcome.floor_broken_twice += TICK;
        } else if ready.len() < floor {
            outcome.floor_broken += TICK;
        } else if ready.len() - largest < floor && !is_refilling {
            outcome.floor_exposed += TICK;
        }
    }
}

fn demand(live: f64, rollout: f64) -> Demand {
    Demand { live, rollout, queued: 0.0, trainer_idle: Ratio::new(0.0) }
}
