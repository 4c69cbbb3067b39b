//! The registration of a target.

use catkinlatch_base::{
    BootId, BuildId, ModelId, Rate, ServiceId, TargetId, Version, ZoneId, derive_value,
};
use std::collections::BTreeMap;

/// Largest part of a target's id in the id of a start, so that both fit in an id.
const MAX_BOOT_NAME_BYTES: usize = 100;

derive_value! {
    /// Whether a target accepts new requests.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// The target accepts new requests.
        Ready,
        /// The target finishes its requests in flight and then shuts down.
        Draining,
        /// The target accepts requests, but its zone is evacuated, so it gets nothing new.
        Evacuated,
    }
}

derive_value! {
    /// A target, as it described itself in its latest registration.
    #[derive(Eq)]
    pub struct Target {
        /// The id of the target, which may stay the same across restarts.
        pub id: TargetId,
        /// When the target started, in milliseconds since the Unix epoch.
        pub born_ms: u64,
        /// The sequence number of the registration since that start.
        pub sequence: u64,
        /// The build of the target's software.
        pub build: BuildId,
        /// The service that the target provides.
        pub service: ServiceId,
        /// The address that the target listens on, as `IP:port`.
        pub address: String,
        /// The availability zone of the target.
        pub zone: ZoneId,
        /// The maximum number of requests that the target runs concurrently.
        pub slots: u32,
        /// Whether the target accepts new requests.
        pub phase: Phase,
        /// The remaining time of the slow phase after the target's start, in milliseconds.
        pub cold_ms: u64,
        /// The rate that the target states to take, as the leader knows it; registrations have none.
        pub rate: Option<Rate>,
        /// Whether the target is a spot instance, which may be reclaimed along with its zone.
        pub is_spot: bool,
        /// The version of the weights that the target has loaded, by model.
        pub models: BTreeMap<ModelId, Version>,
    }
}

impl Target {
    /// Returns whether both describe the same start of a target, with the same address, phase,
    /// slots, build and service. Loaded versions are not compared, as only the leader uses them.
    pub fn has_same_routing(&self, other: &Self) -> bool {
        let key = |target: &Self| {
            let place = (target.id.clone(), target.born_ms, target.address.clone());
            let software = (target.service.clone(), target.build.clone());
            (place, target.phase, target.slots, software)
        };
        key(self) == key(other)
    }

    /// Returns the id of this start of the target; the end of the target's id and the start time.
    pub fn boot(&self) -> BootId {
        let id = self.id.as_str();
        let tail = &id[id.len().saturating_sub(MAX_BOOT_NAME_BYTES)..];
        format!("{tail}@{}", self.born_ms).parse().expect("both parts are valid in an id")
    }

    /// Returns whether the target accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }
}
