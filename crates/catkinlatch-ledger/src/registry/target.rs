//! The registration of a target.

use catkinlatch_base::{
    BootId, BuildId, ModelId, Rate, ServiceId, TargetId, Version, ZoneId, derive_value,
};
use derive_more::{Display, Error};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

/// Largest part of a target's id in the id of a start, so that both fit in an id.
const MAX_BOOT_NAME_BYTES: usize = 100;

/// The most requests that a target may say to run at once, also beyond its slots.
pub const MAX_SLOTS: u32 = 100_000;

/// The longest slow phase that a target may state, in milliseconds: a day.
pub const MAX_COLD_MS: u64 = 24 * 60 * 60 * 1_000;

/// How far in the future the start of a target may lie, in milliseconds: clocks may be wrong, but a later
/// start of the target must not count as an earlier one.
const MAX_AHEAD_MS: u64 = 60 * 60 * 1_000;

/// The largest sequence number and version of weights, which JSON represents exactly.
const MAX_NUMBER: u64 = 1 << 53;

/// The longest name of a build, in bytes.
const MAX_BUILD_BYTES: usize = 128;

/// The most models that a target may have loaded.
const MAX_MODELS: usize = 1_000;

/// What is wrong with a registration, which then names no target to use.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing can listen at the address.
    #[display("nothing can listen at its address")]
    Address,
    /// The number of slots is too large.
    #[display("it has more than {MAX_SLOTS} slots")]
    Slots,
    /// The slow phase is too long.
    #[display("its slow phase is longer than a day")]
    Cold,
    /// The start lies in the future.
    #[display("it starts more than an hour from now")]
    Start,
    /// The sequence number is too large.
    #[display("its sequence number is larger than {MAX_NUMBER}")]
    Sequence,
    /// The name of the build is too long.
    #[display("the name of its build is longer than {MAX_BUILD_BYTES} bytes")]
    Build,
    /// There are too many models, or the number of a version is too large.
    #[display("it has more than {MAX_MODELS} models, or a version larger than {MAX_NUMBER}")]
    Models,
}

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

    /// Returns whether this target may have become `other`, which has its id: a target may start
    /// again elsewhere, but stays with its service, and a start stays where it is.
    pub fn may_become(&self, other: &Self) -> bool {
        let is_moved = self.address != other.address || self.zone != other.zone;
        self.service == other.service && !(is_moved && self.born_ms == other.born_ms)
    }

    /// Checks the figures of the registration; `wall_ms` is the time in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns the first flaw that was found.
    pub fn check(&self, wall_ms: u64) -> Result<(), Flaw> {
        let is_large = |version: &Version| version.get() > MAX_NUMBER;
        let has_large = self.models.len() > MAX_MODELS || self.models.values().any(is_large);
        let flaws = [
            (!self.address.parse().is_ok_and(|address| is_reachable(&address)), Flaw::Address),
            (self.slots > MAX_SLOTS, Flaw::Slots),
            (self.cold_ms > MAX_COLD_MS, Flaw::Cold),
            (check_start(self.born_ms, wall_ms).is_err(), Flaw::Start),
            (self.sequence > MAX_NUMBER, Flaw::Sequence),
            (self.build.as_str().len() > MAX_BUILD_BYTES, Flaw::Build),
            (has_large, Flaw::Models),
        ];
        flaws.into_iter().find(|(is_found, _)| *is_found).map_or(Ok(()), |(_, flaw)| Err(flaw))
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

/// Checks the start of a target; both times are in milliseconds since the Unix epoch.
///
/// # Errors
///
/// Returns [`Flaw::Start`] if the start lies too far in the future.
pub fn check_start(born_ms: u64, wall_ms: u64) -> Result<(), Flaw> {
    let is_ahead = born_ms > wall_ms.saturating_add(MAX_AHEAD_MS);
    if is_ahead { Err(Flaw::Start) } else { Ok(()) }
}

/// Returns whether a target can listen at an address.
fn is_reachable(address: &SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
