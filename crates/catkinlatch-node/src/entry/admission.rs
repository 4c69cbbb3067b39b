//! Admission control of the node: requests wait here until they may be sent to a target.

use super::{
    AuthorizedRequest, Code, Refusal,
    crash::{self, Watch},
};
use crate::{Node, peer::Message};
use catkinlatch_base::{BootId, HostId, Instant, Ratio, RouteId, TargetId, Tokens};
use catkinlatch_route::{
    Gate,
    admission::{Class, Decision, Denial, Outcome, Permit, Rates, Request, Waiter},
    retry::{Budget, Effect, Plan, Step},
};
use catkinlatch_state::{config::Team, suspect::Disconnect};
use slotmap::SecondaryMap;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::oneshot;

/// Interval at which slots and limits are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum share of contended capacity for rollouts.
const ROLLOUT_FLOOR: Ratio = Ratio::new(0.2);

/// How long a node counts as draining after its last message that it drains.
const DRAINING_TIMEOUT: Duration = Duration::from_secs(2);

/// Retry budget of a route: retries per first attempt.
const RETRY_SHARE: Ratio = Ratio::new(0.2);

type Verdict = Result<Permit, Denial>;

/// The admission gate, the requests that wait at it and the state kept for retries.
#[derive(Debug)]
pub struct Admission {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    gate: Gate,
    waiters: SecondaryMap<Waiter, oneshot::Sender<Verdict>>,
    budgets: BTreeMap<RouteId, Budget>,
    watch: Watch,
    draining_hosts: BTreeMap<HostId, Instant>,
}

impl Admission {
    /// Creates admission control without slots.
    pub fn new() -> Self {
        let (waiters, budgets, watch, draining_hosts) = Default::default();
        let gate = Gate::new(ROLLOUT_FLOOR);
        Self { inner: Mutex::new(Inner { gate, waiters, budgets, watch, draining_hosts }) }
    }

    /// Adds to a route's retry budget for the first attempt of a request.
    pub fn record_first_attempt(&self, route: &RouteId, now: Instant) {
        self.lock().budget(route, now).earn(now);
    }

    /// Decides what to do after a failed attempt.
    pub fn after_failure(
        &self,
        route: &RouteId,
        plan: &mut Plan,
        effect: Effect,
        now: Instant,
    ) -> Step {
        let mut inner = self.lock();
        let mut random = fastrand::Rng::new();
        plan.after_failure(effect, inner.budget(route, now), now, &mut random)
    }

    /// Records that another node is draining.
    pub fn record_draining(&self, host: HostId, now: Instant) {
        self.lock().draining_hosts.insert(host, now);
    }

    /// Returns whether another node recently reported that it is draining.
    pub fn is_draining(&self, host: &HostId, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DRAINING_TIMEOUT;
        self.lock().draining_hosts.get(host).is_some_and(recent)
    }

    /// Watches a target whose connection broke with a request in flight.
    pub fn watch_target(&self, target: TargetId, boot: BootId, since: Instant) {
        self.with_watch(|watch| watch.add(Disconnect::new((target, boot), since)));
    }

    /// Runs `work` on the targets that may have crashed, while admission is locked.
    pub fn with_watch<T>(&self, work: impl FnOnce(&mut Watch) -> T) -> T {
        work(&mut self.lock().watch)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn budget(&mut self, route: &RouteId, now: Instant) -> &mut Budget {
        self.budgets.entry(route.clone()).or_insert_with(|| Budget::new(RETRY_SHARE, now))
    }

    /// Notifies waiting requests that are now admitted or refused.
    fn poll(&mut self, route: &RouteId, now: Instant) {
        for outcome in self.gate.poll(route, now) {
            let (waiter, verdict) = match outcome {
                Outcome::Run(waiter, permit) => (waiter, Ok(permit)),
                Outcome::Refuse(waiter, denial) => (waiter, Err(denial)),
            };
            let Some(sender) = self.waiters.remove(waiter) else {
                self.return_permit(verdict);
                continue;
            };
            if let Err(verdict) = sender.send(verdict) {
                self.return_permit(verdict);
            }
        }
    }

    /// Returns the permit of a request that was admitted but is no longer waiting.
    fn return_permit(&mut self, verdict: Verdict) {
        if let Ok(permit) = verdict {
            self.gate.cancel(permit);
        }
    }
}

/// An admitted request; dropping it frees the slot.
#[derive(Debug)]
pub struct Guard {
    node: Arc<Node>,
    route: RouteId,
    permit: Option<Permit>,
    actual_cost: Option<Tokens>,
    sent: bool,
}

impl Guard {
    /// Records that the request was sent to a target, so that it counts against the team's limits.
    pub fn set_sent(&mut self) {
        self.sent = true;
    }

    /// Records the actual cost, which replaces the estimate.
    pub fn set_actual_cost(&mut self, cost: Tokens) {
        self.actual_cost = Some(cost);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        let now = self.node.clock.now();
        let mut inner = self.node.admission.lock();
        if self.sent {
            inner.gate.finish(permit, self.actual_cost, now);
        } else {
            inner.gate.cancel(permit);
        }
        inner.poll(&self.route, now);
    }
}

/// Waits until a request may be sent to a target.
///
/// # Errors
///
/// Returns a refusal if no target serves the route, a limit is reached, the queue is full or the
/// deadline cannot be met.
pub async fn admit(
    node: &Arc<Node>,
    authorized: &AuthorizedRequest,
    class: Class,
    cost: Tokens,
) -> Result<Guard, Box<Refusal>> {
    let now = node.clock.now();
    let weight = node.control.state().config().team(&authorized.team).map_or(1, |team| team.weight);
    let request = Request {
        route: authorized.route.id.clone(),
        team: authorized.team.clone(),
        weight,
        class,
        cost,
        deadline: authorized.deadline,
    };
    if node.admission.lock().gate.slots(&request.route) == 0 {
        update_slots(node, authorized, now);
    }
    let (sender, receiver) = oneshot::channel();
    let (waiter, until) = {
        let mut inner = node.admission.lock();
        if inner.gate.slots(&request.route) == 0 {
            let message = "no target serves this route now; retry in a moment";
            let refusal = Refusal::not_run(authorized.request.clone(), Code::NoTarget, message);
            return Err(refusal.with_retry_after_ms(1000).into());
        }
        match inner.gate.admit(&request, now) {
            Decision::Run(permit) => return Ok(guard(node, authorized, permit)),
            Decision::Refuse(denial) => return Err(refuse(authorized, &denial)),
            Decision::Wait { waiter, until } => {
                inner.waiters.insert(waiter, sender);
                (waiter, until)
            }
        }
    };
    wait(node, authorized, waiter, until, receiver).await
}

async fn wait(
    node: &Arc<Node>,
    authorized: &AuthorizedRequest,
    waiter: Waiter,
    until: Instant,
    mut receiver: oneshot::Receiver<Verdict>,
) -> Result<Guard, Box<Refusal>> {
    let decided = tokio::time::timeout_at(node.clock.timer(until), &mut receiver).await;
    let verdict = match decided {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_)) | Err(_) => {
            let mut inner = node.admission.lock();
            let late = receiver.try_recv().ok();
            inner.gate.abandon(waiter);
            inner.waiters.remove(waiter);
            drop(inner);
            late.unwrap_or(Err(Denial::TooLate { retry_after: UPDATE_INTERVAL }))
        }
    };
    verdict
        .map(|permit| guard(node, authorized, permit))
        .map_err(|denial| refuse(authorized, &denial))
}

/// Updates slots and limits periodically and admits the requests that they allow; also expires
/// claims and suspects.
pub async fn maintain(node: Arc<Node>) {
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        super::claim::expire(&node).await;
        crash::clear_survivors(&node).await;
        crash::expire_suspects(&node).await;
        let now = node.clock.now();
        let state = node.control.state();
        let table = node.table();
        let slots: Vec<(RouteId, u32)> = state
            .config()
            .routes()
            .values()
            .map(|route| (route.id.clone(), table.slots(&super::dispatch::selector(route), now)))
            .collect();
        drop(table);
        if node.is_draining() {
            node.peers.broadcast(&Message::Draining);
        }
        let (rank, nodes) = rank(&node);
        let mut inner = node.admission.lock();
        for team in state.config().teams().values() {
            inner.gate.set_rates(&team.id, rates(team), Ratio::new(1.0 / nodes as f64), now);
            let concurrency = team.concurrency.map(|whole| share_of(whole, rank, nodes));
            inner.gate.set_concurrency(&team.id, concurrency, now);
        }
        for (route, slots) in slots {
            inner.gate.set_slots(&route, slots.div_ceil(nodes));
            inner.poll(&route, now);
        }
    }
}

/// Returns this node's position among all nodes, ordered by host, and the number of nodes.
fn rank(node: &Node) -> (u32, u32) {
    let before = node.peers.hosts().filter(|host| **host < node.settings.host).count();
    let others = node.peers.hosts().count();
    (before as u32, others as u32 + 1)
}

/// Returns a node's part of `whole`; the parts of all nodes add up to `whole`.
fn share_of(whole: u32, rank: u32, nodes: u32) -> u32 {
    whole / nodes + u32::from(rank < whole % nodes)
}

fn update_slots(node: &Arc<Node>, authorized: &AuthorizedRequest, now: Instant) {
    let slots = node.table().slots(&super::dispatch::selector(&authorized.route), now);
    let (_, nodes) = rank(node);
    node.admission.lock().gate.set_slots(&authorized.route.id, slots.div_ceil(nodes));
}

fn rates(team: &Team) -> Rates {
    Rates {
        requests_per_minute: team.requests_per_minute,
        tokens_per_minute: team.tokens_per_minute,
    }
}

fn guard(node: &Arc<Node>, authorized: &AuthorizedRequest, permit: Permit) -> Guard {
    let route = authorized.route.id.clone();
    Guard { node: node.clone(), route, permit: Some(permit), actual_cost: None, sent: false }
}

fn refuse(authorized: &AuthorizedRequest, denial: &Denial) -> Box<Refusal> {
    let code = match denial {
        Denial::Requests { .. } | Denial::Tokens { .. } => Code::Limited,
        Denial::QueueFull { .. } | Denial::TooLate { .. } => Code::Overloaded,
    };
    let millis = u64::try_from(denial.retry_after().as_millis()).unwrap_or(u64::MAX);
    let refusal = Refusal::not_run(authorized.request.clone(), code, denial.to_string());
    refusal.with_retry_after_ms(millis.max(1)).into()
}
