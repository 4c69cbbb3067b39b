//! A budget that limits retries to a share of first attempts.

use catkinlatch_base::{Instant, Ratio};
use std::{cmp, time::Duration};

/// Idle time after which all unspent credit has expired.
const CREDIT_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of retries that accumulate as credit.
const MAX_CREDIT_RETRIES: f64 = 100.0;

/// Number of retries in the full reserve, which serves routes with little traffic.
const RESERVE_RETRIES: f64 = 5.0;

/// Usual rate at which the reserve refills.
const RESERVE_RETRIES_PER_SECOND: f64 = 0.5;

/// The retry budget of one route.
///
/// First attempts earn credit and retries spend it. In a full outage, retries therefore add at most
/// `share` to the load, plus a reserve of a few retries that refills slowly.
///
/// ```
/// use catkinlatch_base::{Instant, Ratio};
/// use catkinlatch_route::retry::Budget;
///
/// let mut budget = Budget::new(Ratio::new(0.5), Instant::ZERO);
/// let reserve = (0..10).filter(|_| budget.take(Instant::ZERO)).count();
/// assert_eq!(reserve, 5);
/// budget.earn(Instant::ZERO);
/// assert!(!budget.take(Instant::ZERO));
/// budget.earn(Instant::ZERO);
/// assert!(budget.take(Instant::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    share: Ratio,
    credit: f64,
    reserve: f64,
    refill: f64,
    updated_at: Instant,
}

impl Budget {
    /// Creates a budget with a full reserve that allows `share` retries per first attempt.
    pub fn new(share: Ratio, now: Instant) -> Self {
        let refill = RESERVE_RETRIES_PER_SECOND;
        Self { share, credit: 0.0, reserve: RESERVE_RETRIES, refill, updated_at: now }
    }

    /// Sets the rate at which the reserve refills, in retries a second.
    pub fn with_refill(self, refill: f64) -> Self {
        Self { refill, ..self }
    }

    /// Records a first attempt, which earns credit.
    pub fn earn(&mut self, now: Instant) {
        self.decay(now);
        self.credit = (self.credit + self.share.get()).min(MAX_CREDIT_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.decay(now);
        let balance = if self.credit >= 1.0 { &mut self.credit } else { &mut self.reserve };
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }

    /// Expires credit in proportion to the time since the last update, and refills the reserve.
    fn decay(&mut self, now: Instant) {
        let idle = now.saturating_duration_since(self.updated_at);
        let kept = 1.0 - cmp::min(idle, CREDIT_WINDOW).as_secs_f64() / CREDIT_WINDOW.as_secs_f64();
        self.credit *= kept;
        let filled = self.reserve + idle.as_secs_f64() * self.refill;
        self.reserve = filled.min(RESERVE_RETRIES);
        self.updated_at = now;
    }
}
