//! How fast a queue advances.

use catkinlatch_base::Instant;
use std::time::Duration;

/// Weight of a new observation in the moving average.
const WEIGHT: f64 = 0.2;

/// Number of observations from which on the average is used to refuse requests.
const MIN_OBSERVATIONS: u32 = 3;

/// How long an observation is used.
const TTL: Duration = Duration::from_secs(2);

/// Assumed time for which a request uses its slot while nothing was observed.
const USUAL_TIME: Duration = Duration::from_millis(150);

/// Bounds of the time after which a refused caller returns, before it is spread.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(2_000)];

/// The mean time between two ends of requests while others wait.
#[derive(Debug, Default)]
pub struct Pace {
    interval: Duration,
    observations: u32,
    last_end: Option<Instant>,
}

impl Pace {
    /// Records that a request ended; `is_contended` if others wait.
    pub fn record_end(&mut self, is_contended: bool, now: Instant) {
        let last_end = self.last_end.replace(now).filter(|at| now < *at + TTL);
        if !is_contended {
            (self.last_end, self.observations) = (None, 0);
            return;
        }
        let Some(last_end) = last_end else { return self.observations = 0 };
        let observed = now - last_end;
        self.interval = if self.observations == 0 {
            observed
        } else {
            self.interval.mul_f64(1.0 - WEIGHT) + observed.mul_f64(WEIGHT)
        };
        self.observations = self.observations.saturating_add(1);
    }

    /// Returns the mean time between two ends while others wait; `None` if too little was observed.
    pub fn interval(&self, now: Instant) -> Option<Duration> {
        self.wait(1, now)
    }

    /// Returns how long a request waits that has `before` others before it; `None` if too little
    /// was observed.
    pub fn wait(&self, before: usize, now: Instant) -> Option<Duration> {
        let is_fresh = self.last_end.is_some_and(|at| now < at + TTL);
        let is_known = is_fresh && self.observations >= MIN_OBSERVATIONS;
        is_known.then(|| self.interval.saturating_mul(before as u32))
    }

    /// Returns the mean time after which a caller should return that is refused with `before` others
    /// before it.
    pub fn retry_after(&self, before: usize, now: Instant) -> Duration {
        let expected = self.wait(before + 1, now).unwrap_or(USUAL_TIME);
        expected.clamp(RETRY_AFTER[0], RETRY_AFTER[1])
    }
}
