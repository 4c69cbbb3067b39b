//! The rule of which failed tries may be repeated.

use super::{Backoff, Budget};
use catkinlatch_base::Instant;
use std::time::Duration;

/// The most tries of one request.
const MAX_TRIES: u32 = 4;

/// The pauses between tries.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_millis(500));

/// What a failed try may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// No byte of the request went to a target.
    Unsent,
    /// The request may have run.
    Perhaps,
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Try another target after a pause.
    Retry(Duration),
    /// Tell the caller now.
    GiveUp,
}

/// The tries of one request.
///
/// ```
/// use catkinlatch_base::{Instant, Ratio};
/// use catkinlatch_route::retry::{Budget, Effect, Plan, Step};
///
/// let mut budget = Budget::new(Ratio::new(1.0), Instant::ZERO);
/// let mut plan = Plan::new(false, Instant::from_millis(1000));
/// let mut random = fastrand::Rng::with_seed(1);
/// let step = plan.after(Effect::Perhaps, &mut budget, Instant::ZERO, &mut random);
/// assert_eq!(step, Step::GiveUp);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    idempotent: bool,
    deadline: Instant,
    tries: u32,
    worst: Effect,
}

impl Plan {
    /// Creates the plan of a request before its first try.
    pub fn new(idempotent: bool, deadline: Instant) -> Self {
        Self { idempotent, deadline, tries: 0, worst: Effect::Unsent }
    }

    /// Decides what to do after a try failed.
    pub fn after(
        &mut self,
        effect: Effect,
        budget: &mut Budget,
        now: Instant,
        random: &mut fastrand::Rng,
    ) -> Step {
        self.worst = self.worst.max(effect);
        let pause = BACKOFF.pause(self.tries, random);
        self.tries += 1;
        let allowed = self.idempotent || self.worst == Effect::Unsent;
        let in_time = now + pause < self.deadline;
        if allowed && in_time && self.tries < MAX_TRIES && budget.take(now) {
            return Step::Retry(pause);
        }
        Step::GiveUp
    }

    /// Returns the worst that any try may have done.
    pub fn worst(&self) -> Effect {
        self.worst
    }
}
