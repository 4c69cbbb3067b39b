//! The right to act as the one process in charge, for a limited time.

use catkinlatch_base::{Instant, Term, derive_value};

derive_value! {
    /// A leader's lease on its own monotonic clock.
    ///
    /// A lease is given only after the leader has applied an entry of its own term, so that it
    /// knows every intent that an earlier leader committed.
    ///
    /// ```
    /// use catkinlatch_base::{Instant, Term};
    /// use catkinlatch_fleet::Lease;
    ///
    /// let until = Instant::from_millis(900);
    /// let lease = Lease { term: Term::new(2), since: Instant::ZERO, until };
    /// assert!(lease.covers(Instant::from_millis(100), Instant::from_millis(600)));
    /// assert!(!lease.covers(Instant::from_millis(100), Instant::from_millis(901)));
    /// ```
    #[derive(Copy, Eq)]
    pub struct Lease {
        /// The term that the leader leads; also the fencing number of its orders.
        pub term: Term,
        /// When the leader first held a lease of this term.
        pub since: Instant,
        /// When the lease ends unless it is renewed.
        pub until: Instant,
    }
}

impl Lease {
    /// Returns whether the lease holds now and still at `deadline`.
    pub fn covers(&self, now: Instant, deadline: Instant) -> bool {
        now < self.until && deadline <= self.until
    }
}
