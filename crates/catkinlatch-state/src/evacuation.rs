//! Zones whose targets are sent nothing new.

use catkinlatch_base::{ZoneId, derive_value};
use std::collections::BTreeSet;

derive_value! {
    /// A change of the evacuated zones; a repeated one has no effect.
    pub enum Change {
        /// Asks that nothing more is sent to the targets of a zone, which needs no entry in the
        /// configuration.
        Evacuate(ZoneId),
        /// Ends the evacuation of a zone.
        Restore(ZoneId),
    }
}

/// Applies a change to the evacuated zones.
pub fn apply(zones: &mut BTreeSet<ZoneId>, change: &Change) {
    match change {
        Change::Evacuate(zone) => zones.insert(zone.clone()),
        Change::Restore(zone) => zones.remove(zone),
    };
}
