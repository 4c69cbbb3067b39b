//! A budget that keeps retries a bounded share of first tries.

use catkinlatch_base::{Instant, Ratio};
use std::{cmp, time::Duration};

/// How long unspent credit is kept.
const WINDOW: Duration = Duration::from_secs(10);

/// The most retries that may be saved up.
const MAX_CREDIT: f64 = 100.0;

/// The retries that are kept for routes with little traffic.
const RESERVE: f64 = 5.0;

/// How many retries a second the reserve gets back.
const RESERVE_PER_SECOND: f64 = 0.5;

/// The retries that one route may still make.
///
/// First tries earn credit and retries spend it, so that a full outage adds at most `share` to the
/// load, and a reserve of a few retries that fills slowly.
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
    touched: Instant,
}

impl Budget {
    /// Creates a budget that allows `share` retries for each first try.
    pub fn new(share: Ratio, now: Instant) -> Self {
        Self { share, credit: 0.0, reserve: RESERVE, touched: now }
    }

    /// Records a first try.
    pub fn earn(&mut self, now: Instant) {
        self.decay(now);
        self.credit = (self.credit + self.share.get()).min(MAX_CREDIT);
    }

    /// Takes one retry, or returns `false` if none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.decay(now);
        let purse = if self.credit >= 1.0 { &mut self.credit } else { &mut self.reserve };
        if *purse < 1.0 {
            return false;
        }
        *purse -= 1.0;
        true
    }

    /// Drops credit in proportion to the time since the last use, and fills the reserve.
    fn decay(&mut self, now: Instant) {
        let idle = now.saturating_duration_since(self.touched);
        let kept = 1.0 - cmp::min(idle, WINDOW).as_secs_f64() / WINDOW.as_secs_f64();
        self.credit *= kept;
        let filled = self.reserve + idle.as_secs_f64() * RESERVE_PER_SECOND;
        self.reserve = filled.min(RESERVE);
        self.touched = now;
    }
}
