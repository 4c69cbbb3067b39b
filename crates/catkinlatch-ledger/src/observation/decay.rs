//! Values that count less the older they are.

use catkinlatch_base::Instant;
use std::time::Duration;

/// Returns the weight of a value of this age, which halves with each half-life.
pub fn weight(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// A count that halves with each half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    value: f64,
    updated_at: Instant,
}

impl Count {
    /// Creates a count that has this value at `now`.
    pub fn new(value: f64, now: Instant) -> Self {
        Self { value, updated_at: now }
    }

    /// Returns the count at `now`.
    pub fn get(&self, half_life: Duration, now: Instant) -> f64 {
        self.value * weight(now.saturating_duration_since(self.updated_at), half_life)
    }

    /// Adds to the count.
    pub fn add(&mut self, amount: f64, half_life: Duration, now: Instant) {
        *self = Self::new(self.get(half_life, now) + amount, now);
    }
}
