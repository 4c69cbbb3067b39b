//! The timing that keeps the orders of successive leaders from overlapping.

use catkinlatch_base::derive_value;
use std::time::Duration;

derive_value! {
    /// The timing of orders, which must be the same on all nodes of a cluster.
    #[derive(Copy, Eq)]
    pub struct Timing {
        /// The longest lease that any leader may hold.
        pub longest_lease: Duration,
        /// How long a receiver has to accept an order and answer; shorter than a lease.
        pub deadline: Duration,
        /// Delay before an order that was not sent or not answered is retried or inquired about.
        pub retry: Duration,
        /// After how many unsent attempts and inconclusive inquiries an order is settled: as
        /// unknown, or as failed if it cannot have been written.
        pub tries: u32,
    }
}

impl Timing {
    /// Returns how long a new leader must not send orders.
    ///
    /// After this time, the last order of an earlier leader has been accepted or has timed out.
    pub fn quiet_period(&self) -> Duration {
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
