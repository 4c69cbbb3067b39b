//! The times that keep two leaders' orders apart.

use catkinlatch_base::derive_value;
use std::time::Duration;

derive_value! {
    /// The times that all nodes of a cluster agree on for orders.
    #[derive(Copy, Eq)]
    pub struct Timing {
        /// The longest lease that any leader may hold.
        pub longest_lease: Duration,
        /// How long a receiver has to take an order and answer; shorter than a lease.
        pub deadline: Duration,
        /// How long an unanswered order rests before the receiver is asked again.
        pub retry: Duration,
        /// How often a receiver is asked before the outcome counts as unknown.
        pub tries: u32,
    }
}

impl Timing {
    /// Returns how long a new leader sends nothing.
    ///
    /// Within this time the last order of an earlier leader has been taken or has timed out.
    pub fn quiet(&self) -> Duration {
        self.longest_lease + self.deadline
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            longest_lease: Duration::from_secs(2),
            deadline: Duration::from_millis(500),
            retry: Duration::from_millis(500),
            tries: 5,
        }
    }
}
