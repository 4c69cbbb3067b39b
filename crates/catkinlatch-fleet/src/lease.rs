//! The time-limited right of the leader to act.

use catkinlatch_base::{Instant, Term, derive_value};

derive_value! {
    /// A leader's lease on its own monotonic clock.
    ///
    /// A leader obtains a lease only after it has applied an entry of its own term, so that its
    /// state includes every intent that an earlier leader committed.
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
        /// The leader's term, which is also the fencing token of its orders.
        pub term: Term,
        /// When the leader first held a lease of this term.
        pub since: Instant,
        /// When the lease expires unless it is renewed.
        pub until: Instant,
    }
}

impl Lease {
    /// Returns whether the lease is valid now and up to and including `deadline`.
    pub fn covers(&self, now: Instant, deadline: Instant) -> bool {
        now < self.until && deadline <= self.until
    }
}
