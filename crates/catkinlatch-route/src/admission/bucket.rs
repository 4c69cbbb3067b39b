//! A token bucket with an adjustable rate.

use catkinlatch_base::Instant;
use std::time::Duration;

/// Time for which unused allowance accumulates: the capacity is what refills in this time.
const BURST: Duration = Duration::from_secs(6);

/// A token bucket with an adjustable rate.
///
/// The level falls below zero when a request costs more than estimated; the deficit has to refill
/// before more is admitted.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: f64,
    level: f64,
    updated_at: Instant,
}

impl Bucket {
    /// Creates a full bucket that refills by `per_minute` a minute.
    pub fn new(per_minute: f64, now: Instant) -> Self {
        let per_second = per_minute / 60.0;
        let level = Self::capacity_of(per_second);
        Self { per_second, level, updated_at: now }
    }

    /// Changes the rate, and caps the level at the new capacity.
    pub fn set_rate(&mut self, per_minute: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_minute / 60.0;
        self.level = self.level.min(self.capacity());
    }

    /// Takes `amount` from the bucket.
    ///
    /// An amount above the bucket's capacity is admitted when the bucket is full.
    ///
    /// # Errors
    ///
    /// Returns the time until `amount` is available, at most one hour.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let needed = amount.min(self.capacity());
        if self.level + 1e-9 >= needed {
            self.level -= amount;
            return Ok(());
        }
        let seconds = (needed - self.level) / self.per_second.max(1e-9);
        Err(Duration::from_secs_f64(seconds.min(3600.0)))
    }

    /// Takes the difference between the actual and the estimated amount, or refunds it if negative.
    pub fn correct(&mut self, difference: f64) {
        self.level = (self.level - difference).min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        Self::capacity_of(self.per_second)
    }

    fn capacity_of(per_second: f64) -> f64 {
        (per_second * BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * self.per_second).min(self.capacity());
        self.updated_at = now;
    }
}
