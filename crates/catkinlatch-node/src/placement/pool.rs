//! Pools of targets to place, derived from the configuration.

use catkinlatch_fleet::{
    placement::{Offer, Pool},
    spend::Money,
};
use catkinlatch_state::{Config, config::Model};

/// The maximum number of targets in one pool.
const MAX_TARGETS: u32 = 1024;

/// Millionths of a currency unit per thousandth.
const MICROS_PER_THOUSANDTH: u64 = 1_000;

/// Returns a pool for each model that has a live floor and at least one offer.
pub fn pools(config: &Config) -> Vec<Pool> {
    let models = config.models().values().filter(|model| model.live_floor > 0);
    let pool = |model: &Model| Pool {
        role: model.id.to_string(),
        live_floor: model.live_floor,
        max_targets: MAX_TARGETS,
        offers: offers(config, model),
    };
    models.map(pool).filter(|pool| !pool.offers.is_empty()).collect()
}

/// Returns an offer for each zone in use that the model allows and each price class.
fn offers(config: &Config, model: &Model) -> Vec<Offer> {
    let is_allowed = |zone| model.zones.is_empty() || model.zones.contains(zone);
    let zones = config.zones().values().filter(|zone| zone.in_use && is_allowed(&zone.id));
    let of_zone = |zone: &catkinlatch_state::config::Zone| {
        let zone = zone.id.clone();
        config.price_classes().values().map(move |class| Offer {
            zone: zone.clone(),
            price_class: class.id.to_string(),
            hourly: Money::from_micros(class.price_per_hour_thousandths * MICROS_PER_THOUSANDTH),
        })
    };
    zones.flat_map(of_zone).collect()
}
