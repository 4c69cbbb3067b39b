//! Messages with which entry hosts and the leader share what they know about load and targets.

pub use catkinlatch_ledger::observation::{Cooldown, Durations, Observation, Scope};

use catkinlatch_base::{
    HostId, Incarnation, Rate, ServiceId, TargetId, Term, ZoneId, derive_value,
};

derive_value! {
    /// What an entry host tells the leader about itself and the targets that it calls.
    pub struct Report {
        /// The host.
        pub host: HostId,
        /// Identifies this start of the process.
        pub incarnation: Incarnation,
        /// Grows with each report of the host, also across its restarts.
        pub sequence: u64,
        /// The host's availability zone.
        pub zone: ZoneId,
        /// The host's requests that run or wait, by service.
        pub demands: Vec<Demand>,
        /// What the host has seen of targets since its last report.
        pub observations: Vec<Observation>,
        /// What the host needs of limited targets, and which ones it has found limited.
        pub allowances: Vec<AllowanceDemand>,
        /// How long answered requests took since the last report.
        pub durations: Vec<Durations>,
    }
}

derive_value! {
    /// The live requests of one host for a service.
    #[derive(Eq)]
    pub struct Demand {
        /// The service.
        pub service: ServiceId,
        /// Number of requests that run.
        pub running: u32,
        /// Number of requests that wait for a place.
        pub waiting: u32,
        /// The highest priority among them; 0 is the highest of all.
        pub priority: u8,
        /// Number of requests that the host may run at once, after it gave up what it does not
        /// need; 0 if it has no share.
        pub share: u32,
    }
}

derive_value! {
    /// What a host needs of one start of a limited target, and knows of it.
    #[derive(Eq)]
    pub struct AllowanceDemand {
        /// Number of the report, counted since the host's process started.
        pub number: u64,
        /// The target.
        pub target: TargetId,
        /// The start of the target, in milliseconds since the Unix epoch.
        pub born_ms: u64,
        /// The remaining time of the cold phase as the host knows it, in milliseconds.
        pub cold_ms: u32,
        /// Number of requests in a span that the host needs. With 0, the host has given its share
        /// back before it sent the report.
        pub wanted: u32,
        /// Number of requests that the host sent to the target in the last span.
        pub used: u32,
        /// Time since the host's last request to the target, in milliseconds, rounded down; 0 if
        /// it sent none in the last span.
        pub idle_ms: u32,
        /// What the target last stated about the rate that it takes; `None` if it never named one.
        pub stated: Option<Stated>,
    }
}

derive_value! {
    /// What a target stated about the rate that it takes from all senders together.
    #[derive(Copy, Eq)]
    pub struct Stated {
        /// The rate; `None` if the target no longer limits what it takes.
        pub rate: Option<Rate>,
        /// Time since the target stated it, in milliseconds.
        pub age_ms: u32,
    }
}

derive_value! {
    /// The leader's answer to a [`Report`].
    ///
    /// It is a lease that holds for `lease_ms` from the moment at which the report was sent.
    pub struct Guidance {
        /// Term of the leader; guidance of an older term than the newest one is ignored.
        pub term: Term,
        /// Time until the next report is due, in milliseconds.
        pub interval_ms: u32,
        /// Duration of the lease, in milliseconds.
        pub lease_ms: u32,
        /// The host's shares of the places of services.
        pub places: Vec<Places>,
        /// The host's shares of what limited targets may get.
        pub allowances: Vec<AllowanceShare>,
        /// What all senders have seen of the targets that changed most.
        pub observations: Vec<Observation>,
        /// The targets in cooldown.
        pub cooldowns: Vec<Cooldown>,
        /// The services for which targets are selected by what all senders have observed.
        pub scopes: Vec<Scope>,
        /// Shortest time between a report and one that a host sends early, because a request begins
        /// or was answered, in milliseconds.
        pub refresh_ms: u32,
    }
}

derive_value! {
    /// A host's share of the places of a service, which has fewer places than there are hosts.
    #[derive(Eq)]
    pub struct Places {
        /// The service.
        pub service: ServiceId,
        /// Number of requests that the host may run at once.
        pub share: u32,
        /// Number of requests that the host may run at once if it hears no leader.
        pub fallback: u32,
    }
}

derive_value! {
    /// A host's share of what a limited target may get.
    #[derive(Eq)]
    pub struct AllowanceShare {
        /// The target.
        pub target: TargetId,
        /// The start of the target, in milliseconds since the Unix epoch.
        pub born_ms: u64,
        /// The most requests that the host may send in any span.
        pub share: u32,
        /// Duration of the span, in milliseconds.
        pub span_ms: u32,
        /// The remaining time of the slow phase, in milliseconds.
        pub cold_ms: u32,
        /// The rate that the target states to take; `None` if it states none.
        pub rate: Option<Rate>,
    }
}
