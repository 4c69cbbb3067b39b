//! Evacuated zones, whose ready targets are shown as evacuated.
//!
//! The zones come from the replicated state alone. The phase that another host showed for a target
//! is never taken over, so that a zone restored by a new leader has ready targets again.

use super::{Phase, Registry, Target};
use catkinlatch_base::{Instant, ZoneId};
use std::collections::BTreeSet;

impl Registry {
    /// Replaces the evacuated zones; returns whether that changed the phase of a target, which
    /// followers must learn.
    ///
    /// Targets that drain stay draining, also when the evacuation of their zone ends.
    pub fn set_evacuated(&mut self, zones: &BTreeSet<ZoneId>, now: Instant) -> bool {
        self.ramp.observe(zones, now);
        let mut has_changed = false;
        for registration in self.registrations.values_mut() {
            let phase = shown_phase(zones, &registration.target);
            has_changed |= phase != registration.target.phase;
            registration.target.phase = phase;
        }
        has_changed
    }

    /// Returns the zones whose targets are sent nothing new.
    pub fn evacuated(&self) -> &BTreeSet<ZoneId> {
        self.ramp.evacuated()
    }

    /// Returns how many of its slots a target may use now, which is less than all for a while after
    /// its zone was restored.
    pub fn usable_slots(&self, target: &Target, now: Instant) -> u32 {
        self.ramp.slots(&target.zone, target.slots, now)
    }

    /// Returns the phase of a target whose start is not known to leave.
    pub(super) fn shown_phase(&self, target: &Target) -> Phase {
        shown_phase(self.evacuated(), target)
    }
}

fn shown_phase(evacuated: &BTreeSet<ZoneId>, target: &Target) -> Phase {
    match target.phase {
        Phase::Draining => Phase::Draining,
        Phase::Ready | Phase::Evacuated if evacuated.contains(&target.zone) => Phase::Evacuated,
        Phase::Ready | Phase::Evacuated => Phase::Ready,
    }
}

/// Returns the evacuated zones that a list of targets shows.
pub fn evacuated_zones<'a>(targets: impl Iterator<Item = &'a Target>) -> BTreeSet<ZoneId> {
    let evacuated = targets.filter(|target| target.phase == Phase::Evacuated);
    evacuated.map(|target| target.zone.clone()).collect()
}
