//! Offers that were unavailable lately and rest for a while.

use super::{Offer, Timing};
use catkinlatch_base::{Instant, ZoneId};
use std::{collections::BTreeMap, time::Duration};

/// How one offer rests.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Instant,
    failures: u32,
}

/// Offers that were unavailable lately and rest for a while.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    rests: BTreeMap<(ZoneId, String), Rest>,
}

impl Backoff {
    /// Returns whether targets may be ordered from an offer.
    pub fn allows(&self, offer: &Offer, now: Instant) -> bool {
        let rest = self.rests.get(&(offer.zone.clone(), offer.price_class.clone()));
        rest.is_none_or(|rest| rest.until <= now)
    }

    /// Records that an offer was unavailable.
    pub fn fail(&mut self, zone: &ZoneId, price_class: &str, timing: &Timing, now: Instant) {
        let key = (zone.clone(), price_class.to_owned());
        let rest = self.rests.entry(key).or_insert(Rest { until: now, failures: 0 });
        if rest.failures > 0 && now < rest.until {
            return;
        }
        let factor = 1_u32 << rest.failures.min(16);
        let wait: Duration = (timing.backoff * factor).min(timing.max_backoff);
        *rest = Rest { until: now + wait, failures: rest.failures + 1 };
    }

    /// Records that an offer was given.
    pub fn succeed(&mut self, zone: &ZoneId, price_class: &str) {
        self.rests.remove(&(zone.clone(), price_class.to_owned()));
    }
}
