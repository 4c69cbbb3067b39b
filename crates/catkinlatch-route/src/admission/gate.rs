//! The gate that each request passes on its way to a target.

use super::{Ask, Class, Denial, Limit, Rates, lane::Item, pool::Pool};
use catkinlatch_base::{Instant, Ratio, RouteId, TeamId, Tokens, invariant};
use slotmap::SlotMap;
use std::{collections::BTreeMap, time::Duration};

slotmap::new_key_type! {
    /// Identifies a waiting request.
    pub struct Waiter;
}

/// The most requests of one team that wait for one route on one node.
const MAX_QUEUED: usize = 256;

/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that may be sent to a target; it is handed back when the request ended.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    route: RouteId,
    team: TeamId,
    class: Class,
    cost: Tokens,
    started: Instant,
}

/// What becomes of an ask at once.
#[derive(Debug)]
pub enum Decision {
    /// The request may run.
    Run(Permit),
    /// The request waits; [`Gate::poll`] tells how it goes on.
    Wait {
        /// Identifies the request.
        waiter: Waiter,
        /// From when on it cannot be answered before its deadline.
        until: Instant,
    },
    /// The request is refused and does not run.
    Refuse(Denial),
}

/// What became of a waiting request.
#[derive(Debug)]
pub enum Outcome {
    /// It may run.
    Run(Waiter, Permit),
    /// It is refused and does not run.
    Refuse(Waiter, Denial),
}

#[derive(Debug)]
struct Pending {
    route: RouteId,
    team: TeamId,
    class: Class,
    cost: Tokens,
}

/// Admits requests: limits, then a bounded and fair queue, then a slot.
///
/// ```
/// use catkinlatch_base::{Instant, Ratio, Tokens};
/// use catkinlatch_route::admission::{Ask, Class, Decision, Gate};
///
/// let mut gate = Gate::new(Ratio::new(0.1));
/// let route = "draft".parse().expect("the id is valid");
/// gate.set_slots(&route, 1);
/// let ask = Ask {
///     route,
///     team: "harbour".parse().expect("the id is valid"),
///     weight: 1,
///     class: Class::Live,
///     cost: Tokens::new(100),
///     deadline: Instant::from_millis(1000),
/// };
/// assert!(matches!(gate.enter(&ask, Instant::ZERO), Decision::Run(_)));
/// assert!(matches!(gate.enter(&ask, Instant::ZERO), Decision::Wait { .. }));
/// ```
#[derive(Debug)]
pub struct Gate {
    rollout_floor: Ratio,
    pools: BTreeMap<RouteId, Pool>,
    limits: BTreeMap<TeamId, Limit>,
    pending: SlotMap<Waiter, Pending>,
}

impl Gate {
    /// Creates a gate that gives rollouts at least `rollout_floor` of contended capacity.
    pub fn new(rollout_floor: Ratio) -> Self {
        let (pools, limits, pending) = Default::default();
        Self { rollout_floor, pools, limits, pending }
    }

    /// Sets how many requests of a route this node may run at one time.
    pub fn set_slots(&mut self, route: &RouteId, slots: u32) {
        self.pool(route).slots = slots;
    }

    /// Sets a team's share of a route's slots on this node, against other teams.
    pub fn set_weight(&mut self, route: &RouteId, team: &TeamId, weight: f64) {
        let pool = self.pool(route);
        for class in [Class::Live, Class::Rollout] {
            pool.queue_mut(class).set_weight(team, weight);
        }
    }

    /// Sets a team's rates and this node's share of them.
    pub fn set_rates(&mut self, team: &TeamId, rates: Rates, share: Ratio, now: Instant) {
        match self.limits.get_mut(team) {
            Some(limit) => limit.update(rates, share, now),
            None => {
                self.limits.insert(team.clone(), Limit::new(rates, share, now));
            }
        }
    }

    /// Sets how many requests of a team may run at one time on this node.
    pub fn set_concurrency(&mut self, team: &TeamId, concurrency: Option<u32>, now: Instant) {
        let unlimited = || Limit::new(Rates::default(), Ratio::new(1.0), now);
        self.limits.entry(team.clone()).or_insert_with(unlimited).set_concurrency(concurrency);
    }

    /// Decides about a request.
    pub fn enter(&mut self, ask: &Ask, now: Instant) -> Decision {
        let pool = self.pool(&ask.route);
        if pool.queue(ask.class).lane(&ask.team).is_none() {
            pool.queue_mut(ask.class).set_weight(&ask.team, f64::from(ask.weight));
        }
        if let Err(denial) = check_queue(pool, ask, now) {
            return Decision::Refuse(denial);
        }
        if let Some(limit) = self.limits.get_mut(&ask.team)
            && let Err(denial) = limit.take(ask.cost, now)
        {
            return Decision::Refuse(denial);
        }
        let room = self.limits.get(&ask.team).is_none_or(Limit::has_room);
        let pool = self.pool(&ask.route);
        let idle = [Class::Live, Class::Rollout].iter().all(|c| pool.queue(*c).is_empty());
        if room && pool.has_room() && idle {
            return Decision::Run(self.start(&ask.route, &ask.team, ask.class, ask.cost, now));
        }
        let pending = Pending {
            route: ask.route.clone(),
            team: ask.team.clone(),
            class: ask.class,
            cost: ask.cost,
        };
        let waiter = self.pending.insert(pending);
        let item = Item { waiter, cost: ask.cost, deadline: ask.deadline };
        let pool = self.pool(&ask.route);
        pool.queue_mut(ask.class).push(&ask.team, item);
        let run = pool.speed.time(ask.cost.get() as f64, 1.0);
        let until = Instant::ZERO + ask.deadline.saturating_duration_since(Instant::ZERO + run);
        Decision::Wait { waiter, until }
    }

    /// Returns what waiting requests may start now, and which are refused.
    pub fn poll(&mut self, route: &RouteId, now: Instant) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        while let Some(outcome) = self.next(route, now) {
            outcomes.push(outcome);
        }
        outcomes
    }

    /// Forgets a waiting request whose caller left.
    pub fn leave(&mut self, waiter: Waiter) {
        let Some(pending) = self.pending.remove(waiter) else { return };
        self.pool(&pending.route).queue_mut(pending.class).forget(&pending.team, pending.cost);
        self.give_back(&pending.team, pending.cost);
    }

    /// Ends a request; `spent` is its true cost, if that is known.
    pub fn finish(&mut self, permit: Permit, spent: Option<Tokens>, now: Instant) {
        let Permit { route, team, class, cost, started } = permit;
        let spent = spent.unwrap_or(cost);
        let pool = self.pool(&route);
        invariant!("slots are counted", pool.running > 0, "route {route} has none to give back");
        pool.running = pool.running.saturating_sub(1);
        pool.speed.observe(spent, now.saturating_duration_since(started));
        pool.queue_mut(class).correct(&team, cost, spent);
        if let Some(limit) = self.limits.get_mut(&team) {
            limit.end();
            limit.correct(cost, spent);
        }
    }

    /// Ends a request that was not sent to any target.
    pub fn cancel(&mut self, permit: Permit) {
        let Permit { route, team, class, cost, .. } = permit;
        let pool = self.pool(&route);
        pool.running = pool.running.saturating_sub(1);
        pool.queue_mut(class).correct(&team, cost, Tokens::new(0));
        if let Some(limit) = self.limits.get_mut(&team) {
            limit.end();
        }
        self.give_back(&team, cost);
    }

    /// Returns how many requests of a team run and wait on a route.
    pub fn waiting(&self, route: &RouteId, team: &TeamId) -> usize {
        let Some(pool) = self.pools.get(route) else { return 0 };
        let count = |class| pool.queue(class).lane(team).map_or(0, |lane| lane.queued);
        count(Class::Live) + count(Class::Rollout)
    }

    /// Returns how many requests of a route may run on this node.
    pub fn slots(&self, route: &RouteId) -> u32 {
        self.pools.get(route).map_or(0, |pool| pool.slots)
    }

    /// Returns how many requests of a route run on this node.
    pub fn running(&self, route: &RouteId) -> u32 {
        self.pools.get(route).map_or(0, |pool| pool.running)
    }

    /// Returns how many requests wait in all.
    pub fn queued(&self) -> usize {
        self.pending.len()
    }

    /// Returns the routes that have slots or requests.
    pub fn routes(&self) -> impl Iterator<Item = &RouteId> {
        self.pools.keys()
    }

    fn pool(&mut self, route: &RouteId) -> &mut Pool {
        let floor = self.rollout_floor;
        if !self.pools.contains_key(route) {
            self.pools.insert(route.clone(), Pool::new(floor));
        }
        self.pools.get_mut(route).expect("the pool was just added")
    }

    fn next(&mut self, route: &RouteId, now: Instant) -> Option<Outcome> {
        let pool = self.pools.get(route)?;
        if !pool.has_room() {
            return None;
        }
        let (class, team) = pool.classes().into_iter().find_map(|class| {
            let has_room = |t: &&TeamId| self.limits.get(*t).is_none_or(Limit::has_room);
            pool.queue(class).order().find(has_room).map(|team| (class, team.clone()))
        })?;
        let pending = &self.pending;
        let pool = self.pools.get_mut(route)?;
        let gone = |item: &Item| !pending.contains_key(item.waiter);
        let item = pool.queue_mut(class).pop(&team, gone)?;
        self.pending.remove(item.waiter);
        if now + pool.speed.time(item.cost.get() as f64, 1.0) > item.deadline {
            let retry_after = pool.wait(class, &team, 1.0).max(MIN_RETRY_AFTER);
            self.give_back(&team, item.cost);
            return Some(Outcome::Refuse(item.waiter, Denial::TooLate { retry_after }));
        }
        let permit = self.start(route, &team, class, item.cost, now);
        Some(Outcome::Run(item.waiter, permit))
    }

    fn start(
        &mut self,
        route: &RouteId,
        team: &TeamId,
        class: Class,
        cost: Tokens,
        now: Instant,
    ) -> Permit {
        let pool = self.pool(route);
        pool.start(class, team, cost);
        invariant!(
            "slots are not exceeded",
            pool.running <= pool.slots,
            "{} of {} run on {route}",
            pool.running,
            pool.slots
        );
        if let Some(limit) = self.limits.get_mut(team) {
            limit.start();
        }
        Permit { route: route.clone(), team: team.clone(), class, cost, started: now }
    }

    fn give_back(&mut self, team: &TeamId, cost: Tokens) {
        if let Some(limit) = self.limits.get_mut(team) {
            limit.give_back(cost);
        }
    }
}

/// Refuses what cannot wait or would wait too long.
fn check_queue(pool: &Pool, ask: &Ask, now: Instant) -> Result<(), Denial> {
    let wait = pool.wait(ask.class, &ask.team, f64::from(ask.weight));
    let retry_after = wait.max(MIN_RETRY_AFTER);
    let queued = pool.queue(ask.class).lane(&ask.team).map_or(0, |lane| lane.queued);
    if queued >= MAX_QUEUED {
        return Err(Denial::QueueFull { retry_after });
    }
    let run = pool.speed.time(ask.cost.get() as f64, 1.0);
    if now + wait + run > ask.deadline {
        return Err(Denial::TooLate { retry_after });
    }
    Ok(())
}
