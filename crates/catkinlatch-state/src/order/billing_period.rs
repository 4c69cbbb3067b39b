//! The billed period of each target.

use catkinlatch_base::{OrderId, TargetId, ZoneId, derive_schema, derive_value};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of ended billing periods that are retained; the oldest are dropped first.
pub const MAX_ENDED_BILLING_PERIODS: usize = 1024;

derive_schema! {
    /// The period for which a target is billed: from its start order to its confirmed end.
    #[derive(Eq)]
    pub struct BillingPeriod {
        /// Order that started the target.
        pub order: OrderId,
        /// Model or service that the target serves.
        pub role: String,
        /// Availability zone that the target runs in.
        pub zone: ZoneId,
        /// Price class of the target.
        pub price_class: String,
        /// Time at which the start order was proposed, in milliseconds since the Unix epoch.
        pub from_ms: u64,
        /// Time since which the target accepts no new work, in milliseconds since the Unix epoch;
        /// absent if it is not draining.
        pub draining_ms: Option<u64>,
        /// Time at which the end was confirmed, in milliseconds since the Unix epoch; absent while
        /// the target runs.
        pub until_ms: Option<u64>,
    }
}

impl BillingPeriod {
    /// Returns the overlap of the billing period with a time range, in milliseconds.
    ///
    /// Both bounds are in milliseconds since the Unix epoch.
    pub fn overlap_ms(&self, begin_ms: u64, end_ms: u64) -> u64 {
        let until = self.until_ms.unwrap_or(u64::MAX).min(end_ms);
        until.saturating_sub(self.from_ms.max(begin_ms))
    }
}

derive_value! {
    /// The billing periods of running targets and of those that ended recently.
    #[derive(Default)]
    pub struct BillingPeriods {
        billing_periods: BTreeMap<TargetId, BillingPeriod>,
        ended: VecDeque<TargetId>,
    }
}

impl BillingPeriods {
    /// Returns the billing periods of running and recently ended targets.
    pub fn list(&self) -> &BTreeMap<TargetId, BillingPeriod> {
        &self.billing_periods
    }

    /// Returns the billing periods that have not ended.
    pub fn running(&self) -> impl Iterator<Item = (&TargetId, &BillingPeriod)> {
        self.billing_periods.iter().filter(|(_, period)| period.until_ms.is_none())
    }

    /// Begins the billing period of a target; has no effect if the target already has one.
    pub fn begin(&mut self, target: &TargetId, period: BillingPeriod) {
        self.billing_periods.entry(target.clone()).or_insert(period);
    }

    /// Returns whether a target is marked as draining.
    pub fn is_draining(&self, target: &TargetId) -> bool {
        self.billing_periods.get(target).is_some_and(|period| period.draining_ms.is_some())
    }

    /// Marks a running target as draining; returns `false` if it is not running.
    pub fn drain(&mut self, target: &TargetId, at_ms: u64) -> bool {
        let running =
            self.billing_periods.get_mut(target).filter(|period| period.until_ms.is_none());
        let Some(period) = running else { return false };
        period.draining_ms.get_or_insert(at_ms);
        true
    }

    /// Ends the billing period of a running target; returns `false` if it is not running.
    pub fn end(&mut self, target: &TargetId, at_ms: u64) -> bool {
        let running =
            self.billing_periods.get_mut(target).filter(|period| period.until_ms.is_none());
        let Some(period) = running else { return false };
        period.until_ms = Some(at_ms.max(period.from_ms));
        self.ended.push_back(target.clone());
        while self.ended.len() > MAX_ENDED_BILLING_PERIODS {
            if let Some(oldest) = self.ended.pop_front() {
                self.billing_periods.remove(&oldest);
            }
        }
        true
    }
}
