//! When cheap targets can be had in each zone, and when they are taken back.

use super::{TICK, load::TICKS_PER_HOUR};
use catkinlatch_base::ZoneId;
use catkinlatch_fleet::placement::Pool;
use std::{collections::BTreeMap, time::Duration};

/// The mean time for which a zone has cheap targets.
const MEAN_UP: Duration = Duration::from_secs(5 * 3_600);

/// The mean time for which it has none.
const MEAN_DOWN: Duration = Duration::from_secs(40 * 60);

/// How long before the end notice is given, if it is given.
pub const NOTICE: Duration = Duration::from_secs(30);

/// The share of reclaims that come with notice.
const NOTICE_SHARE: f64 = 0.7;

/// One end of a zone's cheap targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Reclaim {
    /// The zone.
    pub zone: ZoneId,
    /// The tick in which all its cheap targets end.
    pub tick: u32,
    /// Whether notice is given.
    pub has_notice: bool,
}

/// When cheap targets can be had in each zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Market {
    /// Whether a zone has cheap targets, by tick.
    pub up: BTreeMap<ZoneId, Vec<bool>>,
    /// The ends, by zone and tick.
    pub reclaims: Vec<Reclaim>,
}

impl Market {
    /// Draws the times for all zones of a pool.
    pub fn draw(pool: &Pool, hours: u32, random: &mut fastrand::Rng) -> Self {
        let mut market = Self { up: BTreeMap::new(), reclaims: Vec::new() };
        for offer in &pool.offers {
            if market.up.contains_key(&offer.zone) {
                continue;
            }
            let (mut is_up, mut ticks) = (true, Vec::new());
            for tick in 0..hours * TICKS_PER_HOUR {
                let mean = if is_up { MEAN_UP } else { MEAN_DOWN };
                if random.f64() < TICK.as_secs_f64() / mean.as_secs_f64() {
                    is_up = !is_up;
                    if !is_up {
                        let (zone, has_notice) = (offer.zone.clone(), random.f64() < NOTICE_SHARE);
                        market.reclaims.push(Reclaim { zone, tick, has_notice });
                    }
                }
                ticks.push(is_up);
            }
            market.up.insert(offer.zone.clone(), ticks);
        }
        market
    }

    /// Returns whether a zone has cheap targets in a tick.
    pub fn is_up(&self, zone: &ZoneId, tick: u32) -> bool {
        self.up.get(zone).and_then(|ticks| ticks.get(tick as usize)).copied().unwrap_or(false)
    }
}
