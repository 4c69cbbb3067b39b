//! When spot targets are available in each zone, and when they are reclaimed.

use super::{TICK, load::TICKS_PER_HOUR};
use catkinlatch_base::ZoneId;
use catkinlatch_fleet::placement::Pool;
use std::{collections::BTreeMap, time::Duration};

/// Mean time for which a zone has spot targets.
const MEAN_AVAILABLE_TIME: Duration = Duration::from_secs(5 * 3_600);

/// Mean time for which a zone has no spot targets.
const MEAN_UNAVAILABLE_TIME: Duration = Duration::from_secs(40 * 60);

/// Time between the notice of a reclaim, if one is given, and the reclaim.
pub const NOTICE_TIME: Duration = Duration::from_secs(30);

/// Probability that a reclaim is announced.
const NOTICE_PROBABILITY: f64 = 0.7;

/// The reclaim of all spot targets of a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Reclaim {
    /// Zone whose spot targets are reclaimed.
    pub zone: ZoneId,
    /// Tick in which the targets end.
    pub tick: u32,
    /// Whether the reclaim is announced in advance.
    pub has_notice: bool,
}

/// The availability of spot targets in each zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Market {
    /// Whether a zone has spot targets, by zone and tick.
    pub availability: BTreeMap<ZoneId, Vec<bool>>,
    /// Reclaims, ordered by zone in order of the offers, then tick.
    pub reclaims: Vec<Reclaim>,
}

impl Market {
    /// Draws the availability in all zones of a pool for `hours` hours.
    pub fn draw(pool: &Pool, hours: u32, random: &mut fastrand::Rng) -> Self {
        let mut market = Self { availability: BTreeMap::new(), reclaims: Vec::new() };
        for offer in &pool.offers {
            if market.availability.contains_key(&offer.zone) {
                continue;
            }
            let (mut is_available, mut ticks) = (true, Vec::new());
            for tick in 0..hours * TICKS_PER_HOUR {
                let mean = if is_available { MEAN_AVAILABLE_TIME } else { MEAN_UNAVAILABLE_TIME };
                if random.f64() < TICK.as_secs_f64() / mean.as_secs_f64() {
                    is_available = !is_available;
                    if !is_available {
                        let (zone, has_notice) =
                            (offer.zone.clone(), random.f64() < NOTICE_PROBABILITY);
                        market.reclaims.push(Reclaim { zone, tick, has_notice });
                    }
                }
                ticks.push(is_available);
            }
            market.availability.insert(offer.zone.clone(), ticks);
        }
        market
    }

    /// Returns whether a zone has spot targets in a tick.
    pub fn has_spot(&self, zone: &ZoneId, tick: u32) -> bool {
        self.availability
            .get(zone)
            .and_then(|ticks| ticks.get(tick as usize))
            .copied()
            .unwrap_or(false)
    }
}
