//! A pool: the targets of one model or service, and the offers to start them from.

use crate::spend::Money;
use catkinlatch_base::{ZoneId, derive_value};
use std::collections::BTreeSet;

derive_value! {
    /// A zone and price class in which targets may be started, with the price.
    #[derive(Eq)]
    pub struct Offer {
        /// The zone in which the target runs.
        pub zone: ZoneId,
        /// The platform's price class, by name.
        pub price_class: String,
        /// The price of one target per hour.
        pub hourly: Money,
    }
}

derive_value! {
    /// The targets of one model or service.
    ///
    /// ```
    /// use catkinlatch_fleet::placement::Pool;
    ///
    /// let pool = Pool { role: "draft".into(), live_floor: 4, max_targets: 12, offers: vec![] };
    /// assert_eq!(pool.least_for_floor(4, 3), 6);
    /// assert_eq!(pool.least_for_floor(4, 2), 8);
    /// ```
    #[derive(Eq)]
    pub struct Pool {
        /// The model or service that the targets serve.
        pub role: String,
        /// How many targets must remain for live requests when any one zone is lost.
        pub live_floor: u32,
        /// The maximum number of targets.
        pub max_targets: u32,
        /// The offers to start targets from.
        pub offers: Vec<Offer>,
    }
}

impl Pool {
    /// Returns the number of zones with an offer.
    pub fn zones(&self) -> u32 {
        let zones: BTreeSet<&ZoneId> = self.offers.iter().map(|offer| &offer.zone).collect();
        u32::try_from(zones.len()).unwrap_or(u32::MAX)
    }

    /// Returns the smallest number of targets of which at least `floor` remain when a zone is lost.
    ///
    /// The targets are assumed to be spread evenly over `zones`. With fewer than two zones, no
    /// number suffices, and the floor itself is returned.
    pub fn least_for_floor(&self, floor: u32, zones: u32) -> u32 {
        if zones < 2 {
            return floor;
        }
        (floor..).find(|n| n - n.div_ceil(zones) >= floor).unwrap_or(u32::MAX)
    }
}
