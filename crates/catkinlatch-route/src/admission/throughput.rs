//! How fast one slot of a pool works.

use catkinlatch_base::Tokens;
use std::time::Duration;

/// How much a new observation counts.
const GAIN: f64 = 0.05;

/// The cost that one slot works off in a second, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    seconds_per_token: Option<f64>,
}

impl Speed {
    /// Records that a request of this cost took that long.
    pub fn observe(&mut self, cost: Tokens, took: Duration) {
        let seen = took.as_secs_f64() / cost.get().max(1) as f64;
        let average = self.seconds_per_token.get_or_insert(seen);
        *average += GAIN * (seen - *average);
    }

    /// Estimates how long `cost` takes on `slots` slots; zero until something was observed.
    pub fn time(&self, cost: f64, slots: f64) -> Duration {
        let seconds = self.seconds_per_token.unwrap_or(0.0) * cost / slots.max(1e-3);
        Duration::from_secs_f64(seconds.min(86_400.0))
    }
}
