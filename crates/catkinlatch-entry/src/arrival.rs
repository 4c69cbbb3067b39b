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

/// Number of beats after a standstill by which a process has read all requests that arrived during
/// it. Late beats count as well: tasks take turns, so each shows that all that were ready have run.
const CATCH_UP_BEATS: u32 = 4;

/// Shortest standstill after which the last view must be confirmed: changes may have been
/// acknowledged without this host.
const LONG_STANDSTILL: Duration = Duration::from_millis(1_000);

/// Beats of a process while it runs, and its last standstills.
#[derive(Clone, Debug, Default)]
pub struct Pulse {
    last: Option<Instant>,
    standstills: Vec<Standstill>,
    /// When the last long standstill ended.
    resumed: Option<Instant>,
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Standstill {
    began: Instant,
    /// Number of beats until the process has caught up.
    beats_left: u32,
}

impl Pulse {
    /// Records that the process runs; called every [`INTERVAL`].
    pub fn beat(&mut self, now: Instant) {
        self.standstills.iter_mut().for_each(|past| past.beats_left -= 1);
        self.standstills.retain(|past| past.beats_left > 0);
        if let Some(began) = self.gap(now) {
            if now >= began + LONG_STANDSTILL {
                self.resumed = Some(now);
            }
            self.standstills.push(Standstill { began, beats_left: CATCH_UP_BEATS });
        }
        self.last = Some(now);
    }

    /// Returns the longest time for which a request that is read now may have waited.
    pub fn waited(&self, now: Instant) -> Duration {
        let past = self.standstills.first().map(|past| past.began);
        past.or_else(|| self.gap(now)).map_or(Duration::ZERO, |began| now - began)
    }

    /// Returns when the process last ran again after a long standstill, also if that is now.
    pub fn resumed(&mut self, now: Instant) -> Option<Instant> {
        if self.gap(now).is_some() {
            self.beat(now);
        }
        self.resumed
    }

    /// Returns when the process stopped running, if the next beat is late.
    fn gap(&self, now: Instant) -> Option<Instant> {
        self.last.filter(|last| now >= *last + INTERVAL + LATE)
    }
}
