//! Exponential backoff with full jitter.

use std::time::Duration;

/// Draws random delays whose upper limit doubles with each retry.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `base`; no delay is longer than `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap }
    }

    /// Draws the delay before retry number `retry`, counted from 0.
    pub fn delay(&self, retry: u32, random: &mut fastrand::Rng) -> Duration {
        let limit = self.base.saturating_mul(1 << retry.min(16)).min(self.cap);
        limit.mul_f64(random.f64())
    }
}
