//! Throughput of one slot of a pool.

use catkinlatch_base::Tokens;
use std::time::Duration;

/// Weight of a new observation in the moving average.
const SMOOTHING_FACTOR: f64 = 0.05;

/// The throughput of one slot, as a moving average of the seconds per token.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    seconds_per_token: Option<f64>,
}

impl Throughput {
    /// Records how long a request of this cost occupied its slot.
    pub fn observe(&mut self, cost: Tokens, elapsed: Duration) {
        let observed = elapsed.as_secs_f64() / cost.get().max(1) as f64;
        let average = self.seconds_per_token.get_or_insert(observed);
        *average += SMOOTHING_FACTOR * (observed - *average);
    }

    /// Estimates how long `cost` tokens take on `slots` slots, at most one day.
    ///
    /// Returns zero until the first request was observed.
    pub fn estimate(&self, cost: f64, slots: f64) -> Duration {
        let seconds = self.seconds_per_token.unwrap_or(0.0) * cost / slots.max(1e-3);
        Duration::from_secs_f64(seconds.min(86_400.0))
    }
}
