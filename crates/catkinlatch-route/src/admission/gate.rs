//! Admission of requests to the slots of a route.

use super::{Class, Denial, Limit, Rates, Request, flow::Item, pool::Pool};
use catkinlatch_base::{Instant, Ratio, RouteId, TeamId, Tokens, invariant};
use slotmap::SlotMap;
use std::{collections::BTreeMap, time::Duration};

slotmap::new_key_type! {
    /// Identifies a waiting request.
    pub struct Waiter;
}

/// Maximum number of waiting requests per team, route and class on one node.
const MAX_QUEUED: usize = 256;

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Permission to send a request to a target.
///
/// It occupies a slot until it is returned by [`Gate::finish`] or [`Gate::cancel`].
#[derive(Debug)]
#[must_use]
pub struct Permit {
    route: RouteId,
    team: TeamId,
    class: Class,
    cost: Tokens,
    started: Instant,
}

/// The immediate decision on a request.
#[derive(Debug)]
pub enum Decision {
    /// The request may run.
    Run(Permit),
    /// The request waits; [`Gate::poll`] returns its outcome.
    Wait {
        /// Identifies the waiting request.
        waiter: Waiter,
        /// Time after which the request can no longer be answered before its deadline.
        until: Instant,
    },
    /// The request is refused and does not run.
    Refuse(Denial),
}

/// The outcome of a waiting request.
#[derive(Debug)]
pub enum Outcome {
    /// The request may run.
    Run(Waiter, Permit),
    /// The request is refused and does not run.
    Refuse(Waiter, Denial),
}

#[derive(Debug)]
struct Pending {
    route: RouteId,
    team: TeamId,
    class: Class,
    cost: Tokens,
}

/// Admits requests: checks team limits, queues fairly up to a bound, and assigns slots.
///
/// ```
/// use catkinlatch_base::{Instant, Ratio, Tokens};
/// use catkinlatch_route::admission::{Class, Decision, Gate, Request};
///
/// let mut gate = Gate::new(Ratio::new(0.1));
/// let route = "draft".parse().expect("the id is valid");
/// gate.set_slots(&route, 1);
/// let request = Request {
///     route,
///     team: "harbour".parse().expect("the id is valid"),
///     weight: 1,
///     class: Class::Live,
///     cost: Tokens::new(100),
///     deadline: Instant::from_millis(1000),
/// };
/// assert!(matches!(gate.admit(&request, Instant::ZERO), Decision::Run(_)));
/// assert!(matches!(gate.admit(&request, Instant::ZERO), Decision::Wait { .. }));
/// ```
#[derive(Debug)]
pub struct Gate {
    rollout_floor: Ratio,
    pools: BTreeMap<RouteId, Pool>,
    limits: BTreeMap<TeamId, Limit>,
    pending: SlotMap<Waiter, Pending>,
}

impl Gate {
    /// Creates a gate that guarantees rollouts the share `rollout_floor` of contended capacity.
    pub fn new(rollout_floor: Ratio) -> Self {
        let (pools, limits, pending) = Default::default();
        Self { rollout_floor, pools, limits, pending }
    }

    /// Sets how many requests of a route this node may run concurrently.
    pub fn set_slots(&mut self, route: &RouteId, slots: u32) {
        self.pool(route).slots = slots;
    }

    /// Sets a team's weight for a route's slots on this node, relative to other teams.
    pub fn set_weight(&mut self, route: &RouteId, team: &TeamId, weight: f64) {
        let pool = self.pool(route);
        for class in [Class::Live, Class::Rollout] {
            pool.queue_mut(class).set_weight(team, weight);
        }
    }

    /// Sets a team's rate limits over all nodes and this node's share of them.
    pub fn set_rates(&mut self, team: &TeamId, rates: Rates, share: Ratio, now: Instant) {
        match self.limits.get_mut(team) {
            Some(limit) => limit.update(rates, share, now),
            None => {
                self.limits.insert(team.clone(), Limit::new(rates, share, now));
            }
        }
    }

    /// Sets how many requests of a team may run concurrently on this node; `None` means unlimited.
    pub fn set_concurrency(&mut self, team: &TeamId, concurrency: Option<u32>, now: Instant) {
        let unlimited = || Limit::new(Rates::default(), Ratio::new(1.0), now);
        self.limits.entry(team.clone()).or_insert_with(unlimited).set_concurrency(concurrency);
    }

    /// Admits a request, puts it in its queue, or refuses it.
    pub fn admit(&mut self, request: &Request, now: Instant) -> Decision {
        let pool = self.pool(&request.route);
        if pool.queue(request.class).flow(&request.team).is_none() {
            pool.queue_mut(request.class).set_weight(&request.team, f64::from(request.weight));
        }
        if let Err(denial) = check_queue(pool, request, now) {
            return Decision::Refuse(denial);
        }
        if let Some(limit) = self.limits.get_mut(&request.team)
            && let Err(denial) = limit.take(request.cost, now)
        {
            return Decision::Refuse(denial);
        }
        let within_limit = self.limits.get(&request.team).is_none_or(Limit::has_room);
        let pool = self.pool(&request.route);
        let queues_empty = [Class::Live, Class::Rollout].iter().all(|c| pool.queue(*c).is_empty());
        if within_limit && pool.has_free_slot() && queues_empty {
            return Decision::Run(self.start(
                &request.route,
                &request.team,
                request.class,
                request.cost,
                now,
            ));
        }
        let pending = Pending {
            route: request.route.clone(),
            team: request.team.clone(),
            class: request.class,
            cost: request.cost,
        };
        let waiter = self.pending.insert(pending);
        let item = Item { waiter, cost: request.cost, deadline: request.deadline };
        let pool = self.pool(&request.route);
        pool.queue_mut(request.class).push(&request.team, item);
        let run = pool.throughput.estimate(request.cost.get() as f64, 1.0);
        let until = Instant::ZERO + request.deadline.saturating_duration_since(Instant::ZERO + run);
        Decision::Wait { waiter, until }
    }

    /// Returns the waiting requests of a route that may start now, and those that are refused
    /// because they can no longer meet their deadline.
    pub fn poll(&mut self, route: &RouteId, now: Instant) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        while let Some(outcome) = self.next(route, now) {
            outcomes.push(outcome);
        }
        outcomes
    }

    /// Removes a waiting request that its caller has abandoned, and refunds it.
    ///
    /// Does nothing if the request no longer waits.
    pub fn abandon(&mut self, waiter: Waiter) {
        let Some(pending) = self.pending.remove(waiter) else { return };
        self.pool(&pending.route)
            .queue_mut(pending.class)
            .record_removal(&pending.team, pending.cost);
        self.refund(&pending.team, pending.cost);
    }

    /// Ends a request and frees its slot.
    ///
    /// `spent` is its actual cost in tokens; with `None` the estimate stands.
    pub fn finish(&mut self, permit: Permit, spent: Option<Tokens>, now: Instant) {
        let Permit { route, team, class, cost, started } = permit;
        let spent = spent.unwrap_or(cost);
        let pool = self.pool(&route);
        invariant!(
            "slots are counted",
            pool.running > 0,
            "route {route} has no running request to end"
        );
        pool.running = pool.running.saturating_sub(1);
        pool.throughput.observe(spent, now.saturating_duration_since(started));
        pool.queue_mut(class).correct(&team, cost, spent);
        if let Some(limit) = self.limits.get_mut(&team) {
            limit.end();
            limit.correct(cost, spent);
        }
    }

    /// Frees the slot of a request that was not sent to any target, and refunds it.
    pub fn cancel(&mut self, permit: Permit) {
        let Permit { route, team, class, cost, .. } = permit;
        let pool = self.pool(&route);
        pool.running = pool.running.saturating_sub(1);
        pool.queue_mut(class).correct(&team, cost, Tokens::new(0));
        if let Some(limit) = self.limits.get_mut(&team) {
            limit.end();
        }
        self.refund(&team, cost);
    }

    /// Returns how many requests of a team wait for a route.
    pub fn waiting(&self, route: &RouteId, team: &TeamId) -> usize {
        let Some(pool) = self.pools.get(route) else { return 0 };
        let count = |class| pool.queue(class).flow(team).map_or(0, |flow| flow.queued);
        count(Class::Live) + count(Class::Rollout)
    }

    /// Returns how many requests of a route this node may run concurrently.
    pub fn slots(&self, route: &RouteId) -> u32 {
        self.pools.get(route).map_or(0, |pool| pool.slots)
    }

    /// Returns how many requests of a route run on this node.
    pub fn running(&self, route: &RouteId) -> u32 {
        self.pools.get(route).map_or(0, |pool| pool.running)
    }

    /// Returns how many requests wait for all routes together.
    pub fn queued(&self) -> usize {
        self.pending.len()
    }

    /// Returns the routes for which slots, weights or requests were ever recorded.
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
        if !pool.has_free_slot() {
            return None;
        }
        let (class, team) = pool.class_order().into_iter().find_map(|class| {
            let has_room = |t: &&TeamId| self.limits.get(*t).is_none_or(Limit::has_room);
            pool.queue(class).order().find(has_room).map(|team| (class, team.clone()))
        })?;
        let pending = &self.pending;
        let pool = self.pools.get_mut(route)?;
        let is_abandoned = |item: &Item| !pending.contains_key(item.waiter);
        let item = pool.queue_mut(class).pop(&team, is_abandoned)?;
        self.pending.remove(item.waiter);
        if now + pool.throughput.estimate(item.cost.get() as f64, 1.0) > item.deadline {
            let retry_after = pool.estimate_wait(class, &team, 1.0).max(MIN_RETRY_AFTER);
            self.refund(&team, item.cost);
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
            "{} requests run on {} slots of route {route}",
            pool.running,
            pool.slots
        );
        if let Some(limit) = self.limits.get_mut(team) {
            limit.start();
        }
        Permit { route: route.clone(), team: team.clone(), class, cost, started: now }
    }

    fn refund(&mut self, team: &TeamId, cost: Tokens) {
        if let Some(limit) = self.limits.get_mut(team) {
            limit.refund(cost);
        }
    }
}

/// Refuses a request that exceeds the queue bound or would miss its deadline.
fn check_queue(pool: &Pool, request: &Request, now: Instant) -> Result<(), Denial> {
    let wait = pool.estimate_wait(request.class, &request.team, f64::from(request.weight));
    let retry_after = wait.max(MIN_RETRY_AFTER);
    let queued = pool.queue(request.class).flow(&request.team).map_or(0, |flow| flow.queued);
    if queued >= MAX_QUEUED {
        return Err(Denial::QueueFull { retry_after });
    }
    let run = pool.throughput.estimate(request.cost.get() as f64, 1.0);
    if now + wait + run > request.deadline {
        return Err(Denial::TooLate { retry_after });
    }
    Ok(())
}
