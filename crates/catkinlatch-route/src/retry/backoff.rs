//! Exponential back-off with full jitter.

use std::time::Duration;

/// Draws growing pauses.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// Creates a back-off whose first pause is at most `base`, and no pause is longer than `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap }
    }

    /// Draws the pause before retry number `retry`, counted from 0.
    pub fn pause(&self, retry: u32, random: &mut fastrand::Rng) -> Duration {
        let limit = self.base.saturating_mul(1 << retry.min(16)).min(self.cap);
        limit.mul_f64(random.f64())
    }
}
