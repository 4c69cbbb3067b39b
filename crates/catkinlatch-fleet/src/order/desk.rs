//! Takes orders from intent to settlement under the leader's lease.

use super::{
    Finding, Outcome, Permit, Step, Timing,
    job::{Job, Phase},
};
use crate::Lease;
use catkinlatch_base::{Instant, OrderId, Term, invariant};
use catkinlatch_state::order::{Action, Change, Order, Orders, Stage};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// How many submitted orders may wait for their intent.
pub const MAX_SUBMITTED: usize = 1024;

/// How many orders may be under way to their receivers at one time.
const MAX_CALLS: usize = 64;

/// How long the desk waits for a lease that is too short to be renewed.
const RENEWAL_WAIT: Duration = Duration::from_millis(50);

/// Decides what happens to orders; the caller commits, sends and asks.
///
/// ```
/// use catkinlatch_base::{Instant, Term};
/// use catkinlatch_fleet::{
///     Lease,
///     order::{Desk, Step, Timing},
/// };
/// use catkinlatch_state::order::{Action, Orders};
///
/// let mut desk = Desk::new(Timing::default());
/// let orders = Orders::default();
/// assert_eq!(desk.next(None, &orders, Instant::ZERO, 0), Step::StandDown);
/// let target = "engine-1".parse().expect("the id is valid");
/// desk.submit("stop-1".parse().expect("the id is valid"), Action::Stop { target });
/// let until = Instant::from_millis(2_000);
/// let lease = Lease { term: Term::new(1), since: Instant::ZERO, until };
/// assert!(matches!(desk.next(Some(lease), &orders, Instant::ZERO, 0), Step::Commit(_)));
/// ```
#[derive(Debug)]
pub struct Desk {
    timing: Timing,
    term: Term,
    quiet_until: Instant,
    submitted: VecDeque<(OrderId, Action)>,
    jobs: BTreeMap<OrderId, Job>,
}

impl Desk {
    /// Creates a desk without orders.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            term: Term::default(),
            quiet_until: Instant::ZERO,
            submitted: VecDeque::new(),
            jobs: BTreeMap::new(),
        }
    }

    /// Returns the times that the desk keeps.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Takes an order to be sent; returns whether there was room for it.
    pub fn submit(&mut self, id: OrderId, action: Action) -> bool {
        if self.submitted.iter().any(|(other, _)| *other == id) || self.jobs.contains_key(&id) {
            return true;
        }
        if self.submitted.len() >= MAX_SUBMITTED {
            return false;
        }
        self.submitted.push_back((id, action));
        true
    }

    /// Returns whether the order waits for its intent or is under way.
    pub fn holds(&self, id: &OrderId) -> bool {
        self.jobs.contains_key(id) || self.submitted.iter().any(|(other, _)| other == id)
    }

    /// Returns what to do next; call it again until it answers [`Step::Wait`], [`Step::Idle`]
    /// or [`Step::StandDown`].
    pub fn next(
        &mut self,
        lease: Option<Lease>,
        orders: &Orders,
        now: Instant,
        wall_ms: u64,
    ) -> Step {
        let Some(lease) = lease.filter(|lease| now < lease.until) else {
            self.stand_down();
            return Step::StandDown;
        };
        if lease.term != self.term {
            self.take_charge(lease, orders);
        }
        if now < self.quiet_until {
            return Step::Wait(self.quiet_until);
        }
        self.sort(orders, now);
        if let Some(step) = self.commit(wall_ms) {
            return step;
        }
        self.call(lease, orders, now)
    }

    /// Records that a change of an order is applied, or must be tried again.
    pub fn committed(&mut self, change: &Change, applied: bool, now: Instant) {
        let Some(id) = change.id() else { return };
        let committing = |job: &&mut Job| matches!(job.phase, Phase::Committing);
        if let Some(job) = self.jobs.get_mut(id).filter(committing) {
            job.committed(change, applied, now);
        }
        self.jobs.retain(|_, job| !matches!(job.phase, Phase::Over));
    }

    /// Records what became of sending an order under this permit.
    pub fn sent(&mut self, permit: &Permit, outcome: Outcome, now: Instant) {
        if let Some(job) = self.jobs.get_mut(&permit.id).filter(is_calling) {
            job.sent(outcome, permit.repeated, &self.timing, now);
        }
    }

    /// Records what the receiver says about an order.
    pub fn inquired(&mut self, id: &OrderId, finding: Finding, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id).filter(is_calling) {
            job.inquired(finding, &self.timing, now);
        }
    }

    fn stand_down(&mut self) {
        self.submitted.clear();
        self.jobs.clear();
    }

    /// Starts a leadership; it stays quiet while an earlier leader's orders may be under way.
    ///
    /// Where no term ever committed an intent, no order can be under way.
    fn take_charge(&mut self, lease: Lease, orders: &Orders) {
        self.jobs.clear();
        self.term = lease.term;
        let untouched = orders.term() == Term::default();
        self.quiet_until = if untouched { lease.since } else { lease.since + self.timing.quiet() };
    }

    /// Takes up open orders without a job, and drops jobs whose order is settled.
    fn sort(&mut self, orders: &Orders, now: Instant) {
        let is_open = |order: &Order| order.stage == Stage::Intended;
        self.jobs.retain(|id, _| orders.list().get(id).is_none_or(is_open));
        for (id, _) in orders.open() {
            if !self.jobs.contains_key(id) {
                self.jobs.insert(id.clone(), Job::inherited(now));
            }
        }
    }

    /// Returns the next change to commit.
    fn commit(&mut self, wall_ms: u64) -> Option<Step> {
        let term = self.term;
        for (id, job) in &mut self.jobs {
            let id = id.clone();
            let change = match &job.phase {
                Phase::Adopt => Change::Adopt { id, term },
                Phase::Settle { stage, target } => {
                    let target = target.clone();
                    Change::Settle { id, stage: *stage, target, at_ms: wall_ms }
                }
                _ => continue,
            };
            job.phase = Phase::Committing;
            return Some(Step::Commit(change));
        }
        let (id, action) = self.submitted.pop_front()?;
        self.jobs.insert(id.clone(), Job::new());
        Some(Step::Commit(Change::Intend { id, action, term, at_ms: wall_ms }))
    }

    /// Returns the next order to send or to ask after, or how long there is none.
    fn call(&mut self, lease: Lease, orders: &Orders, now: Instant) -> Step {
        let deadline = now + self.timing.deadline;
        let calls = self.jobs.values().filter(|j| matches!(j.phase, Phase::Calling)).count();
        let mut wake: Option<Instant> = None;
        let mut sleep = |until: Instant| wake = Some(wake.map_or(until, |w| w.min(until)));
        for (id, job) in self.jobs.iter_mut().filter(|_| calls < MAX_CALLS) {
            let Some(order) = orders.list().get(id) else { continue };
            match job.phase {
                Phase::Ready { from } | Phase::Ask { from } if from > now => sleep(from),
                Phase::Ready { .. } if !lease.covers(now, deadline) => sleep(now + RENEWAL_WAIT),
                Phase::Ready { .. } => {
                    let repeated = job.is_written();
                    job.write();
                    return Step::Send(permit(id, order, lease, deadline, repeated));
                }
                Phase::Ask { .. } => {
                    job.phase = Phase::Calling;
                    return Step::Inquire { id: id.clone(), action: order.action.clone() };
                }
                Phase::Committing
                | Phase::Calling
                | Phase::Adopt
                | Phase::Settle { .. }
                | Phase::Over => {}
            }
        }
        wake.map_or(Step::Idle, Step::Wait)
    }
}

fn is_calling(job: &&mut Job) -> bool {
    matches!(job.phase, Phase::Calling)
}

/// Makes out a permit for an order whose intent is committed under the lease's term.
fn permit(id: &OrderId, order: &Order, lease: Lease, deadline: Instant, repeated: bool) -> Permit {
    invariant!(
        "an order is sent only after its intent is committed under the same fencing number",
        order.stage == Stage::Intended && order.term == lease.term,
        "order {id} stands at {:?} under term {}, sent under term {}",
        order.stage,
        order.term,
        lease.term
    );
    Permit { id: id.clone(), action: order.action.clone(), fence: lease.term, deadline, repeated }
}
