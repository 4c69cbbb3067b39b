//! The clocks of a node: one monotonic, one of the day.

use catkinlatch_base::Instant;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// Creates a clock whose monotonic reading starts at zero.
    pub fn new() -> Self {
        Self { origin: tokio::time::Instant::now() }
    }

    /// Reads the monotonic clock; it stands still while tests pause time.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// Returns the same moment for use in timers.
    pub fn timer(&self, instant: Instant) -> tokio::time::Instant {
        self.origin + instant.saturating_duration_since(Instant::ZERO)
    }

    /// Reads the clock of the day, in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
