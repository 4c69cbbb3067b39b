//! The clocks of a process: monotonic and wall clock.

use catkinlatch_base::Instant;
use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Reads the monotonic clock and the wall clock.
///
/// The monotonic clock also counts the time for which the machine is suspended, which the system's
/// steady clock leaves out: a lease must not outlast a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock whose monotonic reading starts at zero now.
    pub fn new() -> Self {
        Self { origin: since_boot() }
    }

    /// Reads the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// Converts an instant of this clock to Tokio's, for use in timers.
    ///
    /// A timer that is set before a suspension fires late by its length.
    pub fn timer(&self, instant: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + instant.saturating_duration_since(self.now())
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

/// Returns the time since the machine was booted, with suspensions.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot clock").into()
}
