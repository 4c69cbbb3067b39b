//! What one run shows.

use std::fmt;

/// The figures of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// The worst-served small team's work against what it was entitled to.
    pub worst_share: f64,
    /// The 99th percentile of the small teams' answer times, in milliseconds.
    pub p99_ms: f64,
    /// Answers before the deadline a second.
    pub good_per_second: f64,
    /// The requests that were sent to a target and still missed the deadline, as a share.
    pub wasted: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "worst share {:.3}, p99 {:>6.0} ms, {:>6.1} good answers/s, {:.3} wasted",
            self.worst_share, self.p99_ms, self.good_per_second, self.wasted
        )
    }
}
