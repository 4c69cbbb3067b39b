//! The state machine that takes orders from intent to settlement under the leader's lease.

use super::{
    InquiryOutcome, Outcome, Permit, Step, Timing,
    job::{Job, Phase},
};
use crate::Lease;
use catkinlatch_base::{Instant, OrderId, Term, invariant};
use catkinlatch_state::order::{Action, Change, Order, Orders, Stage};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// The most submitted orders that may wait for their intent to be committed.
pub const MAX_SUBMITTED: usize = 1024;

/// The most calls to receivers that may be in flight.
const MAX_CALLS: usize = 64;

/// How long to wait for the renewal of a lease that ends before an order's deadline.
const RENEWAL_WAIT: Duration = Duration::from_millis(50);

/// Decides the next step for each order; the caller commits changes, sends orders and inquires.
///
/// A dispatcher acts only under a lease. It commits the intent of an order before it sends the
/// order, and after a change of leader it waits until the earlier leader's orders have timed out.
///
/// ```
/// use catkinlatch_base::{Instant, Term};
/// use catkinlatch_fleet::{
///     Lease,
///     order::{Dispatcher, Step, Timing},
/// };
/// use catkinlatch_state::order::{Action, Orders};
///
/// let mut dispatcher = Dispatcher::new(Timing::default());
/// let orders = Orders::default();
/// assert_eq!(dispatcher.next(None, &orders, Instant::ZERO, 0), Step::StandDown);
/// let target = "engine-1".parse().expect("the id is valid");
/// dispatcher.submit("stop-1".parse().expect("the id is valid"), Action::Stop { target });
/// let until = Instant::from_millis(2_000);
/// let lease = Lease { term: Term::new(1), since: Instant::ZERO, until };
/// assert!(matches!(dispatcher.next(Some(lease), &orders, Instant::ZERO, 0), Step::Commit(_)));
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    timing: Timing,
    term: Term,
    quiet_until: Instant,
    submitted: VecDeque<(OrderId, Action)>,
    jobs: BTreeMap<OrderId, Job>,
}

impl Dispatcher {
    /// Creates a dispatcher without orders.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            term: Term::default(),
            quiet_until: Instant::ZERO,
            submitted: VecDeque::new(),
            jobs: BTreeMap::new(),
        }
    }

    /// Returns the timing of the dispatcher.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Queues an order; returns false if the queue is full.
    ///
    /// Submitting an order that the dispatcher already holds has no effect.
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

    /// Returns whether the order is queued or in progress.
    pub fn holds(&self, id: &OrderId) -> bool {
        self.jobs.contains_key(id) || self.submitted.iter().any(|(other, _)| other == id)
    }

    /// Returns the next step.
    ///
    /// The caller carries it out and calls again until it gets [`Step::Wait`], [`Step::Idle`] or
    /// [`Step::StandDown`]. `wall_ms` is the wall clock in milliseconds since the Unix epoch.
    pub fn next(
        &mut self,
        lease: Option<Lease>,
        orders: &Orders,
        now: Instant,
        wall_ms: u64,
    ) -> Step {
        let Some(lease) = lease.filter(|lease| now < lease.until) else {
            self.reset();
            return Step::StandDown;
        };
        if lease.term != self.term {
            self.begin_term(lease, orders);
        }
        if now < self.quiet_until {
            return Step::Wait(self.quiet_until);
        }
        self.sync_jobs(orders, now);
        if let Some(step) = self.next_commit(wall_ms) {
            return step;
        }
        self.next_call(lease, orders, now)
    }

    /// Records whether a change of an order was applied; if not, it is tried again or dropped.
    pub fn committed(&mut self, change: &Change, applied: bool, now: Instant) {
        let Some(id) = change.id() else { return };
        let committing = |job: &&mut Job| matches!(job.phase, Phase::Committing);
        if let Some(job) = self.jobs.get_mut(id).filter(committing) {
            job.committed(change, applied, now);
        }
        self.jobs.retain(|_, job| !matches!(job.phase, Phase::Finished));
    }

    /// Records the outcome of sending an order under this permit.
    pub fn sent(&mut self, permit: &Permit, outcome: Outcome, now: Instant) {
        if let Some(job) = self.jobs.get_mut(&permit.id).filter(is_calling) {
            job.sent(outcome, permit.repeated, &self.timing, now);
        }
    }

    /// Records the receiver's answer to an inquiry about an order.
    pub fn inquired(&mut self, id: &OrderId, outcome: InquiryOutcome, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id).filter(is_calling) {
            job.inquired(outcome, &self.timing, now);
        }
    }

    fn reset(&mut self) {
        self.submitted.clear();
        self.jobs.clear();
    }

    /// Starts a term with a quiet period, during which orders of an earlier leader may still be in
    /// flight.
    ///
    /// If no term has committed an intent, no order can be in flight, and the period is skipped.
    fn begin_term(&mut self, lease: Lease, orders: &Orders) {
        self.jobs.clear();
        self.term = lease.term;
        let has_no_intents = orders.term() == Term::default();
        self.quiet_until =
            if has_no_intents { lease.since } else { lease.since + self.timing.quiet_period() };
    }

    /// Creates jobs for open orders that have none, and drops jobs whose order is settled.
    fn sync_jobs(&mut self, orders: &Orders, now: Instant) {
        let is_open = |order: &Order| order.stage == Stage::Intended;
        self.jobs.retain(|id, _| orders.list().get(id).is_none_or(is_open));
        for (id, _) in orders.open() {
            if !self.jobs.contains_key(id) {
                self.jobs.insert(id.clone(), Job::inherited(now));
            }
        }
    }

    /// Returns the next change to commit.
    fn next_commit(&mut self, wall_ms: u64) -> Option<Step> {
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

    /// Returns the next order to send or to inquire about, or how long to wait.
    fn next_call(&mut self, lease: Lease, orders: &Orders, now: Instant) -> Step {
        let deadline = now + self.timing.deadline;
        let calls = self.jobs.values().filter(|j| matches!(j.phase, Phase::Calling)).count();
        let mut wake: Option<Instant> = None;
        let mut wake_at = |until: Instant| wake = Some(wake.map_or(until, |w| w.min(until)));
        for (id, job) in self.jobs.iter_mut().filter(|_| calls < MAX_CALLS) {
            let Some(order) = orders.list().get(id) else { continue };
            match job.phase {
                Phase::Ready { from } | Phase::Ask { from } if from > now => wake_at(from),
                Phase::Ready { .. } if !lease.covers(now, deadline) => wake_at(now + RENEWAL_WAIT),
                Phase::Ready { .. } => {
                    let repeated = job.may_be_written();
                    job.mark_written();
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
                | Phase::Finished => {}
            }
        }
        wake.map_or(Step::Idle, Step::Wait)
    }
}

fn is_calling(job: &&mut Job) -> bool {
    matches!(job.phase, Phase::Calling)
}

/// Creates a permit for an order whose intent is committed under the lease's term.
fn permit(id: &OrderId, order: &Order, lease: Lease, deadline: Instant, repeated: bool) -> Permit {
    invariant!(
        "an order is sent only after its intent is committed under the same fencing number",
        order.stage == Stage::Intended && order.term == lease.term,
        "order {id} has stage {:?} and term {}, but the lease has term {}",
        order.stage,
        order.term,
        lease.term
    );
    Permit { id: id.clone(), action: order.action.clone(), fence: lease.term, deadline, repeated }
}
