//! Results of a simulated admission run.

use std::fmt;

/// Results of a simulated admission run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Metrics {
    /// The smallest ratio over the small teams of served tokens to entitled tokens.
    ///
    /// A team is entitled to the tokens that it offered, up to an equal share of capacity.
    pub worst_share: f64,
    /// The 99th percentile of the small teams' latencies, in milliseconds.
    pub p99_ms: f64,
    /// Requests answered before their deadline, per second.
    pub goodput_per_second: f64,
    /// The share of completed requests that missed their deadline, from 0 to 1.
    pub late_share: f64,
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "worst share {:.3}, p99 {:>6.0} ms, {:>6.1} good answers/s, {:.3} wasted",
            self.worst_share, self.p99_ms, self.goodput_per_second, self.late_share
        )
    }
}
