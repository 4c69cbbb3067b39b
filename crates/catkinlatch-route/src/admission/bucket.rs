//! A token bucket whose rate may change.

use catkinlatch_base::Instant;
use std::time::Duration;

/// How much unused allowance is kept.
const BURST: Duration = Duration::from_secs(6);

/// A token bucket.
///
/// The level may fall below zero when work turns out dearer than estimated; it is then paid back
/// before more is admitted.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: f64,
    level: f64,
    touched: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(per_minute: f64, now: Instant) -> Self {
        let per_second = per_minute / 60.0;
        let level = Self::capacity_of(per_second);
        Self { per_second, level, touched: now }
    }

    /// Changes the rate and keeps the level in proportion.
    pub fn set_rate(&mut self, per_minute: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_minute / 60.0;
        self.level = self.level.min(self.capacity());
    }

    /// Takes `amount`, or says how long to wait for it.
    ///
    /// An amount above the bucket's capacity is admitted when the bucket is full.
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

    /// Takes or gives back the difference between the estimate and the truth.
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
        let elapsed = now.saturating_duration_since(self.touched).as_secs_f64();
        self.level = (self.level + elapsed * self.per_second).min(self.capacity());
        self.touched = now;
    }
}
