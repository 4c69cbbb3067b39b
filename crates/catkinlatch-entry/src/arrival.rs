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

/// How long a process must have run since a standstill to have read all requests that arrived during
/// it. Shorter standstills that follow do not count as running.
const CATCH_UP: Duration = Duration::from_millis(80);

/// Beats of a process while it runs, and its last standstills.
#[derive(Clone, Debug, Default)]
pub struct Pulse {
    last: Option<Instant>,
    standstills: Vec<Standstill>,
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Standstill {
    began: Instant,
    /// When the process has caught up.
    until: Instant,
}

impl Pulse {
    /// Records that the process runs; called every [`INTERVAL`].
    pub fn beat(&mut self, now: Instant) {
        if let Some((began, gap)) = self.gap(now) {
            self.standstills.iter_mut().for_each(|past| past.until += gap);
            self.standstills.push(Standstill { began, until: now + CATCH_UP });
        }
        self.standstills.retain(|past| now < past.until);
        self.last = Some(now);
    }

    /// Returns the longest time for which a request that is read now may have waited.
    pub fn waited(&self, now: Instant) -> Duration {
        let current = self.gap(now);
        let gap = current.map_or(Duration::ZERO, |(_, gap)| gap);
        let past = self.standstills.iter().find(|past| now < past.until + gap);
        let began = past.map(|past| past.began).or(current.map(|(began, _)| began));
        began.map_or(Duration::ZERO, |began| now - began)
    }

    /// Returns when the process stopped running and for how long, if the next beat is late.
    fn gap(&self, now: Instant) -> Option<(Instant, Duration)> {
        let last = self.last.filter(|last| now >= *last + INTERVAL + LATE)?;
        Some((last, now - last))
    }
}
