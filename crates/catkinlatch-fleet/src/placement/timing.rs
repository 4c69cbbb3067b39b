//! How fast placement follows demand.

use catkinlatch_base::derive_value;
use std::time::Duration;

derive_value! {
    /// How fast placement follows demand.
    #[derive(Copy, Eq)]
    pub struct Timing {
        /// For how long a lower demand must last before targets are stopped.
        pub hold: Duration,
        /// The shortest time from a target's start to its stop, since each start costs money.
        pub min_lifetime: Duration,
        /// For how long work on a target may go on once it is to be stopped.
        pub drain: Duration,
        /// The time that a start costs without any work done.
        pub start_overhead: Duration,
        /// Over what time the cost of a start must be earned back by a lower price.
        pub horizon: Duration,
        /// The first rest after an offer was unavailable; it doubles with each further one.
        pub backoff: Duration,
        /// The longest rest.
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
