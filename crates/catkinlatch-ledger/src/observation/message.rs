//! What senders and the leader tell each other about targets.

use catkinlatch_base::{ServiceId, TargetId, derive_value};

derive_value! {
    /// What senders have seen of one start of a target.
    #[derive(Eq)]
    pub struct Observation {
        /// The target.
        pub target: TargetId,
        /// The start of the target, in milliseconds since the Unix epoch.
        pub born_ms: u64,
        /// Age of the load and the pace, in milliseconds; `u32::MAX` if neither is known.
        pub age_ms: u32,
        /// Number of requests that the target runs.
        pub running: u32,
        /// Number of requests that wait at the target.
        pub waiting: u32,
        /// How long work takes on the target's machine, in percent of the usual time; `None` if the
        /// target does not say.
        pub pace: Option<u32>,
        /// The remaining time of the target's slow phase, in milliseconds.
        pub cold_ms: u32,
        /// Number of requests that the target answered.
        pub answers: u32,
        /// Number of requests that the target refused as full.
        pub refusals: u32,
        /// Number of requests that the target failed.
        pub failures: u32,
        /// Number of requests that the target did not answer in time.
        pub silences: u32,
        /// Number of requests that the leader itself runs at the target now; 0 in a report.
        pub leader_running: u32,
    }
}

derive_value! {
    /// How long answered requests of a service took since the last report.
    #[derive(Eq)]
    pub struct Durations {
        /// The service.
        pub service: ServiceId,
        /// The durations, in milliseconds.
        pub ms: Vec<u32>,
    }
}

derive_value! {
    /// A service for which targets are selected by what all senders have observed.
    #[derive(Eq)]
    pub struct Scope {
        /// The service.
        pub service: ServiceId,
        /// The 95th percentile of the durations of its requests, in milliseconds; `None` if too few
        /// are known.
        pub late_ms: Option<u32>,
    }
}

derive_value! {
    /// A start of a target that gets nothing new because it fails or is silent.
    #[derive(Eq)]
    pub struct Cooldown {
        /// The target.
        pub target: TargetId,
        /// The start of the target, in milliseconds since the Unix epoch.
        pub born_ms: u64,
        /// Whether a sender may ask the leader to retry the target.
        pub is_open: bool,
    }
}
