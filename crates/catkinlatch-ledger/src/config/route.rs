//! Where requests go.

use catkinlatch_base::{ServiceId, derive_value};

derive_value! {
    /// What may be repeated.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// Requests may run more than once.
        Idempotent,
        /// Requests run at most once.
        NonIdempotent,
        /// Requests are answered by a stream of events.
        Stream,
        /// Requests hand in batch jobs.
        Rollout,
    }
}

derive_value! {
    /// The part of a route's requests that goes to one service.
    pub struct Share {
        /// The service.
        pub service: ServiceId,
        /// Its part, in any unit.
        pub weight: f64,
    }
}

derive_value! {
    /// Which requests go to which service, and how.
    pub struct Route {
        /// Names the route in logs.
        pub name: String,
        /// The host that callers ask for.
        pub host: String,
        /// The beginning of the path.
        pub prefix: String,
        /// What may be repeated.
        pub kind: Kind,
        /// The services.
        pub shares: Vec<Share>,
        /// How long a request may be kept waiting.
        pub timeout_ms: Option<u64>,
        /// Within which time an answer is as good as at once.
        pub objective_ms: Option<u64>,
        /// The rank among routes; 0 is the highest.
        pub priority: u8,
        /// The most targets that one request may be sent to.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub is_open: bool,
        /// Whether a stream may go on at another target.
        pub is_resumable: bool,
        /// Whether a sample must be of one version of the weights.
        pub is_single_version: bool,
        /// How long after its submission all results of a job are due.
        pub due_ms: Option<u64>,
        /// How long after the job's submission an item may be given up.
        pub max_wait_ms: Option<u64>,
    }
}

impl Route {
    /// Returns whether a request may be run more than once; a stream then goes on elsewhere after
    /// its last event.
    pub fn may_repeat(&self) -> bool {
        self.kind == Kind::Idempotent || (self.kind == Kind::Stream && self.is_resumable)
    }

    /// Returns the service that a number between 0 and 1 falls to, by the weights.
    pub fn service(&self, fraction: f64) -> Option<&ServiceId> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = fraction * total;
        let weighty = || self.shares.iter().filter(|share| share.weight > 0.0);
        for share in weighty() {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        weighty().next_back().map(|share| &share.service)
    }
}
