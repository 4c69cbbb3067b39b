//! How long a request may have waited before this process read it.
//!
//! A process that stands still, or whose processor is taken, reads requests late; their callers' time
//! runs meanwhile. The process can't see when a request reached its machine, but it can see that it
//! did not run.

use catkinlatch_base::Instant;
use std::time::Duration;

/// Interval between two beats.
pub const INTERVAL: Duration = Duration::from_millis(20);

/// How late a beat must be for the process to count as having stood still.
const LATE: Duration = Duration::from_millis(20);

/// How long after a standstill requests may still be read that arrived during it.
const CATCH_UP: Duration = Duration::from_millis(60);

/// Beats of a process while it runs, and its last standstill.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pulse {
    last: Option<Instant>,
    standstill: Option<Standstill>,
}

#[derive(Clone, Copy, Debug)]
struct Standstill {
    began: Instant,
    ended: Instant,
}

impl Pulse {
    /// Records that the process runs; called every [`INTERVAL`].
    pub fn beat(&mut self, now: Instant) {
        self.standstill = self.standstill_at(now);
        self.last = Some(now);
    }

    /// Returns the longest time for which a request that is read now may have waited.
    pub fn waited(&self, now: Instant) -> Duration {
        let standstill = self.standstill_at(now).filter(|past| now < past.ended + CATCH_UP);
        standstill.map_or(Duration::ZERO, |past| now - past.began)
    }

    /// Returns the last standstill, which may have just ended without a beat.
    fn standstill_at(&self, now: Instant) -> Option<Standstill> {
        let began = self.last.filter(|last| now >= *last + INTERVAL + LATE);
        began.map(|began| Standstill { began, ended: now }).or(self.standstill)
    }
}
