//! A target as it describes itself.

use catkinlatch_base::{ModelId, ServiceId, TargetId, Version, ZoneId, derive_value};
use std::collections::BTreeMap;

derive_value! {
    /// Whether a target takes new work.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// It takes work.
        Ready,
        /// It finishes what it has and then leaves.
        Draining,
    }
}

derive_value! {
    /// A target as it describes itself.
    #[derive(Eq)]
    pub struct Target {
        /// Identifies the target; a restart may keep it.
        pub id: TargetId,
        /// When it started, in milliseconds since the Unix epoch.
        pub born_ms: u64,
        /// Counts what it said of itself since then.
        pub sequence: u64,
        /// The service that it provides.
        pub service: ServiceId,
        /// Where it listens, as `IP:port`.
        pub address: String,
        /// Its availability zone.
        pub zone: ZoneId,
        /// How many requests it runs at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub phase: Phase,
        /// How much longer it stays slow after its start, in milliseconds.
        pub cold_ms: u64,
        /// Whether it may be taken away with its zone.
        pub is_spot: bool,
        /// The versions of the weights that it holds.
        pub models: BTreeMap<ModelId, Version>,
    }
}

impl Target {
    /// Returns whether the other describes the same use of the same start; the versions that it
    /// holds matter to the leader alone.
    pub fn serves_like(&self, other: &Self) -> bool {
        let key = |target: &Self| {
            let place = (target.id.clone(), target.born_ms, target.address.clone());
            (place, target.phase, target.slots, target.service.clone())
        };
        key(self) == key(other)
    }

    /// Returns whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }
}
