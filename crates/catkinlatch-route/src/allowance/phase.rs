//! Which targets are cold, and how their bound rises afterwards.

use catkinlatch_base::Instant;
use std::{collections::BTreeMap, time::Duration};

/// Interval at which the bound doubles once the cold phase has ended.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(500);

/// Requests a second that one slot can serve at most: requests take about 60 ms or more. The bound
/// no longer matters above this rate for all slots.
const MAX_RATE_PER_SLOT: u32 = 16;

/// The longest cold phase that is believed, so that a wrong statement of a target ends.
const MAX_COLD: Duration = Duration::from_secs(60);

/// How long the end of a cold phase is remembered: longer than any ramp.
const RETENTION: Duration = Duration::from_secs(10);

/// How a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The target is not limited.
    Warm,
    /// The target is cold, or was until recently.
    Limited {
        /// Factor on the planned limit and on all shares of it: 1 while the target is cold.
        factor: u32,
    },
}

/// The cold phases of targets, by start of a target.
#[derive(Clone, Debug)]
pub struct Phases<K> {
    ends: BTreeMap<K, Instant>,
}

impl<K> Default for Phases<K> {
    fn default() -> Self {
        Self { ends: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Phases<K> {
    /// Records that a target stated to be cold for `left`, which is 0 if it is warm; returns whether
    /// the target has turned cold.
    ///
    /// Statements arrive late and out of order, so none shortens a phase.
    pub fn observe(&mut self, start: &K, left: Duration, now: Instant) -> bool {
        if left.is_zero() {
            return false;
        }
        let end = now + left.min(MAX_COLD);
        let known = self.ends.entry(start.clone()).or_insert(Instant::ZERO);
        let turned_cold = *known <= now;
        *known = end.max(*known);
        turned_cold
    }

    /// Returns the remaining time of a target's cold phase; zero if it is not cold.
    pub fn left(&self, start: &K, now: Instant) -> Duration {
        self.ends.get(start).map_or(Duration::ZERO, |end| *end - now)
    }

    /// Returns how a target with this planned limit and number of slots may be used.
    pub fn stage(&self, start: &K, planned: u32, slots: u32, now: Instant) -> Stage {
        let Some(end) = self.ends.get(start) else { return Stage::Warm };
        let doublings = (now - *end).as_millis() / DOUBLING_INTERVAL.as_millis();
        let factor = 1_u32.checked_shl(doublings.min(32) as u32).unwrap_or(u32::MAX);
        let is_free = planned.saturating_mul(factor) >= slots.saturating_mul(MAX_RATE_PER_SLOT);
        if now > *end && is_free { Stage::Warm } else { Stage::Limited { factor } }
    }

    /// Returns the starts whose phases are remembered.
    pub fn starts(&self) -> impl Iterator<Item = &K> {
        self.ends.keys()
    }

    /// Drops the phases that ended long ago.
    pub fn expire(&mut self, now: Instant) {
        self.ends.retain(|_, end| now < *end + RETENTION);
    }
}
