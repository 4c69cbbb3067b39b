//! How quickly placement follows demand.

use catkinlatch_base::derive_value;
use std::time::Duration;

derive_value! {
    /// How quickly placement follows demand.
    #[derive(Copy, Eq)]
    pub struct Timing {
        /// How long a lower demand must last before targets are drained.
        pub hold: Duration,
        /// The minimum age at which a target may be drained, since each start costs money.
        pub min_lifetime: Duration,
        /// How long a draining target may finish its work before it is stopped.
        pub drain: Duration,
        /// How long a new target is paid for before it can do any work.
        pub start_overhead: Duration,
        /// The time within which a lower price must pay for the cost of a start.
        pub horizon: Duration,
        /// The first backoff after an offer was unavailable; it doubles with each further failure.
        pub backoff: Duration,
        /// The maximum backoff.
        pub max_backoff: Duration,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(300),
            min_lifetime: Duration::from_secs(600),
            drain: Duration::from_secs(60),
            start_overhead: Duration::from_secs(90),
            horizon: Duration::from_secs(1_800),
            backoff: Duration::from_secs(30),
            max_backoff: Duration::from_secs(300),
        }
    }
}
