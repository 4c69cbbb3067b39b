//! The registry of targets, built from the registrations that targets send.
//!
//! Registrations may arrive late or out of order, so they are ordered by the start time of the
//! target and by their sequence number.

mod evacuation;
mod leaving;
mod target;
mod withdrawal;

pub use self::{
    evacuation::evacuated_zones,
    leaving::Leaving,
    target::{Flaw, MAX_COLD_MS, MAX_SLOTS, Phase, Target, check_start},
};

use self::withdrawal::Withdrawals;
use catkinlatch_base::{BootId, Instant, ModelId, ServiceId, TargetId, Version, derive_value};
use catkinlatch_route::Ramp;
use derive_more::Display;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long after its last registration a target keeps its id from one that contradicts it: several
/// heartbeats.
const CONTRADICTION_TIME: Duration = Duration::from_secs(5);

/// How long the last start of a target that has fallen silent is remembered.
const SILENT_RETENTION: Duration = Duration::from_secs(120);

/// The effect of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target is new, or an attribute that affects routing changed.
    Changed,
    /// The registration only renews the target.
    Renewed,
    /// The registration is stale and was ignored.
    Outdated(Reason),
}

/// Why a registration is stale.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The start has withdrawn.
    #[display("withdrawn")]
    Withdrawn,
    /// A later registration of the target was received before.
    #[display("older")]
    Older,
    /// A later start of another target has taken the address.
    #[display("replaced")]
    Replaced,
    /// A target that still registers has the id or address, and can't have become this one.
    #[display("foreign")]
    Foreign,
}

/// The effect of a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// The target was registered and has been removed.
    Removed(Box<Target>),
    /// A later start than the one that withdrew is registered; it stays. Contains its start.
    Late(u64),
    /// The target was not registered.
    Absent,
}

derive_value! {
    /// The tombstone of a withdrawn target.
    #[derive(Eq)]
    pub struct Tombstone {
        /// The withdrawn target.
        pub id: TargetId,
        /// The latest start that was withdrawn, in milliseconds since the Unix epoch. Registrations
        /// of this start and of earlier ones are ignored.
        pub born_ms: u64,
    }
}

/// The latest registration of a target, and when it was received.
#[derive(Clone, Debug)]
struct Registration {
    target: Target,
    received_at: Instant,
}

/// The registered targets. This is soft state of the leader, which is not replicated by the log.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    registrations: BTreeMap<TargetId, Registration>,
    withdrawals: Withdrawals,
    /// The starts of targets that were dropped since they fell silent, and when they were.
    silent: BTreeMap<TargetId, (u64, Instant)>,
    leaving: Leaving,
    ramp: Ramp,
}

impl Registry {
    /// Replaces the targets and tombstones by those of another registry.
    ///
    /// What this host has seen itself of targets that leave stays.
    pub fn adopt(&mut self, targets: Vec<Target>, tombstones: Vec<Tombstone>, now: Instant) {
        let registration = |target: Target| {
            let target = self.with_own_phase(target);
            (target.id.clone(), Registration { target, received_at: now })
        };
        self.registrations = targets.into_iter().map(registration).collect();
        self.withdrawals.adopt(tombstones, now);
    }

    /// Records that a start of a target said that it leaves, so that it counts as draining whatever
    /// its registrations say; returns whether that changes what followers must know.
    pub fn record_leaving(&mut self, id: &TargetId, born_ms: u64, now: Instant) -> bool {
        self.leaving.insert(id, born_ms, now);
        let target = self.registrations.get_mut(id).map(|registration| &mut registration.target);
        let Some(target) = target.filter(|target| target.born_ms == born_ms) else { return false };
        let was_draining = target.phase == Phase::Draining;
        target.phase = Phase::Draining;
        !was_draining
    }

    /// Returns the target as draining if its start is known to leave, else as evacuated or ready,
    /// whatever other hosts take its zone for.
    fn with_own_phase(&self, target: Target) -> Target {
        let previous = self.registrations.get(&target.id).map(|registration| &registration.target);
        let is_draining = |previous: &Target| {
            previous.born_ms == target.born_ms && previous.phase == Phase::Draining
        };
        if self.leaving.contains(&target) || previous.is_some_and(is_draining) {
            return Target { phase: Phase::Draining, ..target };
        }
        let phase = self.shown_phase(&target);
        Target { phase, ..target }
    }

    /// Restarts the timeouts of all targets, since a new leader does not know when they last sent a
    /// registration to the previous one.
    pub fn reset_timeouts(&mut self, now: Instant) {
        self.registrations.values_mut().for_each(|registration| registration.received_at = now);
    }

    /// Extends the timeouts of all targets by the time in which this host could not hear them.
    pub fn forgive(&mut self, late: Duration) {
        for registration in self.registrations.values_mut() {
            registration.received_at += late;
        }
    }

    /// Records the registration of a target.
    ///
    /// An address belongs to the latest start that registered it: targets of earlier starts with
    /// the same address are dropped.
    pub fn register(&mut self, target: Target, now: Instant) -> Change {
        if let Some(reason) = self.staleness(&target, now) {
            return Change::Outdated(reason);
        }
        self.silent.remove(&target.id);
        let target = self.with_own_phase(target);
        self.registrations.retain(|id, other| {
            other.target.address != target.address
                || *id == target.id
                || other.target.born_ms > target.born_ms
        });
        let id = target.id.clone();
        let previous = self
            .registrations
            .insert(id, Registration { target: target.clone(), received_at: now });
        match previous {
            Some(previous) if previous.target.has_same_routing(&target) => Change::Renewed,
            _ => Change::Changed,
        }
    }

    /// Returns whether a target may register, given the services that there are.
    ///
    /// One of another service names no target to use, so it takes neither the id nor the address of
    /// a registered target. If one has been registered before its service was known not to be there,
    /// it is dropped for a target that needs its id or address.
    pub fn admit(&mut self, target: &Target, services: &BTreeSet<ServiceId>) -> bool {
        let is_rival = |other: &Target| other.id == target.id || other.address == target.address;
        if services.contains(&target.service) {
            self.registrations.retain(|_, Registration { target: other, .. }| {
                !is_rival(other) || services.contains(&other.service)
            });
            return true;
        }
        !self.targets().any(is_rival)
    }

    /// Returns why a registration is stale, if it is.
    fn staleness(&mut self, target: &Target, now: Instant) -> Option<Reason> {
        let current = self.registrations.get(&target.id).map(|current| &current.target);
        let is_older = current.is_some_and(|current| {
            (target.born_ms, target.sequence) <= (current.born_ms, current.sequence)
        });
        let is_replaced = self.registrations.values().any(|other| {
            other.target.address == target.address && other.target.born_ms > target.born_ms
        });
        let is_foreign = self.registrations.get(&target.id).is_some_and(|current| {
            now < current.received_at + CONTRADICTION_TIME && !current.target.may_become(target)
        });
        if is_foreign {
            Some(Reason::Foreign)
        } else if is_older {
            Some(Reason::Older)
        } else if is_replaced {
            Some(Reason::Replaced)
        } else {
            self.withdrawals.covers(target, now).then_some(Reason::Withdrawn)
        }
    }

    /// Removes a target that withdraws the start `born_ms`, in milliseconds since the Unix epoch, or
    /// whichever start is known if it names none. Later registrations of the start are ignored.
    ///
    /// The withdrawal of an earlier start than the registered one is late, and removes nothing.
    pub fn withdraw(&mut self, id: &TargetId, born_ms: Option<u64>, now: Instant) -> Withdrawn {
        let registered = self.registrations.get(id).map(|current| current.target.born_ms);
        match born_ms {
            Some(born_ms) => self.withdrawals.insert_named(id, born_ms, now),
            None => {
                let silent = self.silent.get(id).map(|(born_ms, _)| *born_ms);
                self.withdrawals.insert_unnamed(id, registered.or(silent), now);
            }
        }
        match registered {
            Some(registered) if born_ms.is_some_and(|born_ms| born_ms < registered) => {
                Withdrawn::Late(registered)
            }
            _ => {
                let removed = self.registrations.remove(id);
                removed.map_or(Withdrawn::Absent, |removed| {
                    Withdrawn::Removed(Box::new(removed.target))
                })
            }
        }
    }

    /// Drops the targets that have not sent a registration within `timeout`, and returns them. Also
    /// drops expired tombstones.
    pub fn expire(&mut self, timeout: Duration, now: Instant) -> Vec<Target> {
        self.withdrawals.expire(now);
        self.silent.retain(|_, (_, dropped_at)| now < *dropped_at + SILENT_RETENTION);
        let registered = self.registrations.values().map(|registration| &registration.target);
        self.leaving.retain(registered, now);
        let expired = self
            .registrations
            .extract_if(.., |_, registration| now >= registration.received_at + timeout);
        let expired: Vec<Target> = expired.map(|(_, registration)| registration.target).collect();
        let silent = expired.iter().map(|target| (target.id.clone(), (target.born_ms, now)));
        self.silent.extend(silent);
        expired
    }

    /// Returns the registered targets in order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.registrations.values().map(|registration| &registration.target)
    }

    /// Returns the target with the given id, if it is registered.
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        self.registrations.get(id).map(|registration| &registration.target)
    }

    /// Returns the starts of registered targets, and when each last sent a registration.
    pub fn starts(&self) -> impl Iterator<Item = (BootId, Instant)> + '_ {
        let registrations = self.registrations.values();
        registrations.map(|registration| (registration.target.boot(), registration.received_at))
    }

    /// Returns the tombstones of recently withdrawn targets.
    pub fn tombstones(&self) -> impl Iterator<Item = Tombstone> + '_ {
        self.withdrawals.tombstones()
    }

    /// Returns the registration of this start of a target, if it is the registered one.
    pub fn registered(&self, start: &Target) -> Option<&Target> {
        self.target(&start.id).filter(|target| target.born_ms == start.born_ms)
    }

    /// Records that a start of a target was observed to hold a version of a model's weights, if it
    /// is the registered one.
    pub fn record_version(&mut self, start: &Target, model: &ModelId, version: Version) {
        let registration = self.registrations.get_mut(&start.id);
        let target = registration.map(|registration| &mut registration.target);
        if let Some(target) = target.filter(|target| target.born_ms == start.born_ms) {
            target.models.insert(model.clone(), version);
        }
    }
}
