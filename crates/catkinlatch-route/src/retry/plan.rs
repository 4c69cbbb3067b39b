//! The rule for which failed attempts are retried.

use super::{Backoff, Budget};
use catkinlatch_base::Instant;
use std::time::Duration;

/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// Backoff between attempts.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_millis(500));

/// The possible effect of a failed attempt, ordered by severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// No byte of the request was sent to a target.
    Unsent,
    /// The target may have run the request.
    MayHaveRun,
}

/// The next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Retry on another target after this delay.
    Retry(Duration),
    /// Return the failure to the caller without another attempt.
    GiveUp,
}

/// The retry state of one request.
///
/// ```
/// use catkinlatch_base::{Instant, Ratio};
/// use catkinlatch_route::retry::{Budget, Effect, Plan, Step};
///
/// let mut budget = Budget::new(Ratio::new(1.0), Instant::ZERO);
/// let mut plan = Plan::new(false, Instant::from_millis(1000));
/// let mut random = fastrand::Rng::with_seed(1);
/// let step = plan.after_failure(Effect::MayHaveRun, &mut budget, Instant::ZERO, &mut random);
/// assert_eq!(step, Step::GiveUp);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    idempotent: bool,
    deadline: Instant,
    attempts: u32,
    worst: Effect,
}

impl Plan {
    /// Creates the plan of a request before its first attempt.
    ///
    /// A request that is not idempotent is retried only while no attempt can have run it.
    pub fn new(idempotent: bool, deadline: Instant) -> Self {
        Self { idempotent, deadline, attempts: 0, worst: Effect::Unsent }
    }

    /// Decides what to do after a failed attempt.
    ///
    /// A retry requires that the request is idempotent or no attempt can have run it, and that the
    /// attempt limit, the deadline and the budget allow it.
    pub fn after_failure(
        &mut self,
        effect: Effect,
        budget: &mut Budget,
        now: Instant,
        random: &mut fastrand::Rng,
    ) -> Step {
        self.worst = self.worst.max(effect);
        let delay = BACKOFF.delay(self.attempts, random);
        self.attempts += 1;
        let allowed = self.idempotent || self.worst == Effect::Unsent;
        let in_time = now + delay < self.deadline;
        if allowed && in_time && self.attempts < MAX_ATTEMPTS && budget.take(now) {
            return Step::Retry(delay);
        }
        Step::GiveUp
    }

    /// Returns the most severe effect of the failed attempts.
    pub fn worst(&self) -> Effect {
        self.worst
    }
}
