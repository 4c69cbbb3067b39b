//! Exponential backoff for offers that were unavailable.

use super::{Offer, Timing};
use catkinlatch_base::{Instant, ZoneId};
use std::{collections::BTreeMap, time::Duration};

/// The backoff of one offer.
#[derive(Clone, Copy, Debug)]
struct Delay {
    until: Instant,
    failures: u32,
}

/// Exponential backoff for offers that were unavailable, by zone and price class.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    delays: BTreeMap<(ZoneId, String), Delay>,
}

impl Backoff {
    /// Returns whether targets may be ordered from an offer now.
    pub fn allows(&self, offer: &Offer, now: Instant) -> bool {
        let delay = self.delays.get(&(offer.zone.clone(), offer.price_class.clone()));
        delay.is_none_or(|delay| delay.until <= now)
    }

    /// Records that an offer was unavailable. Failures during its backoff are not counted.
    pub fn fail(&mut self, zone: &ZoneId, price_class: &str, timing: &Timing, now: Instant) {
        let key = (zone.clone(), price_class.to_owned());
        let delay = self.delays.entry(key).or_insert(Delay { until: now, failures: 0 });
        if delay.failures > 0 && now < delay.until {
            return;
        }
        let factor = 1_u32 << delay.failures.min(16);
        let duration: Duration = (timing.backoff * factor).min(timing.max_backoff);
        *delay = Delay { until: now + duration, failures: delay.failures + 1 };
    }

    /// Records that the platform provided a target from an offer, which ends the backoff.
    pub fn succeed(&mut self, zone: &ZoneId, price_class: &str) {
        self.delays.remove(&(zone.clone(), price_class.to_owned()));
    }
}
