//! Gradual return of load to the targets of a zone whose evacuation has ended.

use catkinlatch_base::{Instant, ZoneId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time in which a target of a restored zone goes from one slot to all of them.
pub const DURATION: Duration = Duration::from_secs(3);

/// When the evacuations of zones ended, as one host observed it.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    evacuated: BTreeSet<ZoneId>,
    restored: BTreeMap<ZoneId, Instant>,
}

impl Ramp {
    /// Records which zones are evacuated now; those that were evacuated before and are no longer
    /// begin their ramp.
    pub fn observe(&mut self, evacuated: &BTreeSet<ZoneId>, now: Instant) {
        self.restored.retain(|zone, at| now < *at + DURATION && !evacuated.contains(zone));
        let restored = self.evacuated.difference(evacuated).map(|zone| (zone.clone(), now));
        self.restored.extend(restored);
        self.evacuated.clone_from(evacuated);
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> &BTreeSet<ZoneId> {
        &self.evacuated
    }

    /// Returns how many of its `slots` a target in a zone may use now: all of them, unless the zone
    /// was restored within [`DURATION`].
    pub fn slots(&self, zone: &ZoneId, slots: u32, now: Instant) -> u32 {
        let Some(at) = self.restored.get(zone) else { return slots };
        let share = (now - *at).as_secs_f64() / DURATION.as_secs_f64();
        let more = f64::from(slots.saturating_sub(1)) * share.min(1.0);
        slots.min(1 + more as u32)
    }

    /// Returns whether a sender may pick a target with `slots`, given the target's load as far as
    /// it is known to the sender, and a random number in 0.0..1.0.
    ///
    /// A sender among many knows little of a target's load, so a target that may use a part of its
    /// slots is admitted for that part of the numbers.
    pub fn admits(&self, zone: &ZoneId, slots: u32, load: u32, random: f64, now: Instant) -> bool {
        let limit = self.slots(zone, slots, now);
        let share = f64::from(limit) / f64::from(slots.max(1));
        limit >= slots || load < limit && random < share
    }
}
