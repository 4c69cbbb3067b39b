//! How long the requests of a service take.

use catkinlatch_base::Instant;
use std::{collections::VecDeque, time::Duration};

/// The most durations that are kept.
const MAX_SAMPLES: usize = 256;

/// The fewest durations from which a percentile is taken: one in twenty lies above it.
const MIN_SAMPLES: usize = 20;

/// How long a duration is kept.
const RETENTION: Duration = Duration::from_secs(60);

/// The latest durations of a service's requests.
#[derive(Clone, Debug, Default)]
pub struct History {
    samples: VecDeque<(Instant, u32)>,
}

impl History {
    /// Records a duration in milliseconds.
    pub fn record(&mut self, ms: u32, now: Instant) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, ms));
    }

    /// Returns the 95th percentile in milliseconds, or `None` if too few durations are known.
    pub fn late_ms(&self, now: Instant) -> Option<u32> {
        let fresh = self.samples.iter().filter(|(at, _)| now < *at + RETENTION);
        let mut sorted: Vec<u32> = fresh.map(|(_, ms)| *ms).collect();
        sorted.sort_unstable();
        (sorted.len() >= MIN_SAMPLES).then(|| sorted[sorted.len() * 95 / 100])
    }
}
