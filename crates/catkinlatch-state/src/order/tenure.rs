//! The time for which each target costs money.

use catkinlatch_base::{OrderId, TargetId, ZoneId, derive_schema, derive_value};
use std::collections::{BTreeMap, VecDeque};

/// How many targets that have ended are kept.
pub const KEPT_ENDED: usize = 1024;

derive_schema! {
    /// The time for which a target costs money: from its start order to its confirmed end.
    #[derive(Eq)]
    pub struct Tenure {
        /// The order that started the target.
        pub order: OrderId,
        /// The model or service that it serves.
        pub role: String,
        /// The zone.
        pub zone: ZoneId,
        /// The price class.
        pub price_class: String,
        /// When the start order was committed, in milliseconds since the Unix epoch.
        pub from_ms: u64,
        /// Since when it takes no new work, in milliseconds since the Unix epoch.
        pub draining_ms: Option<u64>,
        /// When the end was confirmed, in milliseconds since the Unix epoch.
        pub until_ms: Option<u64>,
    }
}

impl Tenure {
    /// Returns how many milliseconds of the tenure lie between two moments.
    pub fn overlap_ms(&self, begin_ms: u64, end_ms: u64) -> u64 {
        let until = self.until_ms.unwrap_or(u64::MAX).min(end_ms);
        until.saturating_sub(self.from_ms.max(begin_ms))
    }
}

derive_value! {
    /// The tenures of all targets that run or ended lately.
    #[derive(Default)]
    pub struct Tenures {
        tenures: BTreeMap<TargetId, Tenure>,
        ended: VecDeque<TargetId>,
    }
}

impl Tenures {
    /// Returns all tenures that are kept.
    pub fn list(&self) -> &BTreeMap<TargetId, Tenure> {
        &self.tenures
    }

    /// Returns the targets that cost money now.
    pub fn running(&self) -> impl Iterator<Item = (&TargetId, &Tenure)> {
        self.tenures.iter().filter(|(_, tenure)| tenure.until_ms.is_none())
    }

    /// Begins the tenure of a target, unless it has begun.
    pub fn begin(&mut self, target: &TargetId, tenure: Tenure) {
        self.tenures.entry(target.clone()).or_insert(tenure);
    }

    /// Returns whether a target takes no new work.
    pub fn is_draining(&self, target: &TargetId) -> bool {
        self.tenures.get(target).is_some_and(|tenure| tenure.draining_ms.is_some())
    }

    /// Marks a target as taking no new work; returns whether it ran.
    pub fn drain(&mut self, target: &TargetId, at_ms: u64) -> bool {
        let running = self.tenures.get_mut(target).filter(|tenure| tenure.until_ms.is_none());
        let Some(tenure) = running else { return false };
        tenure.draining_ms.get_or_insert(at_ms);
        true
    }

    /// Ends the tenure of a target; returns whether it ran.
    pub fn end(&mut self, target: &TargetId, at_ms: u64) -> bool {
        let running = self.tenures.get_mut(target).filter(|tenure| tenure.until_ms.is_none());
        let Some(tenure) = running else { return false };
        tenure.until_ms = Some(at_ms.max(tenure.from_ms));
        self.ended.push_back(target.clone());
        while self.ended.len() > KEPT_ENDED {
            if let Some(oldest) = self.ended.pop_front() {
                self.tenures.remove(&oldest);
            }
        }
        true
    }
}
