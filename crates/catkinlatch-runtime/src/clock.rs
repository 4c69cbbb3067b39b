//! The clocks of a process: monotonic and wall clock.

use catkinlatch_base::Instant;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// Creates a clock whose monotonic reading starts at zero now.
    pub fn new() -> Self {
        Self { origin: tokio::time::Instant::now() }
    }

    /// Reads the monotonic clock, which follows Tokio's time and thus stops while a test pauses it.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// Converts an instant of this clock to Tokio's, for use in timers.
    pub fn timer(&self, instant: Instant) -> tokio::time::Instant {
        self.origin + instant.saturating_duration_since(Instant::ZERO)
    }

    /// Reads the wall clock, in milliseconds since the Unix epoch.
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
