//! The targets of one model or service, and where they may be started.

use crate::spend::Money;
use catkinlatch_base::{ZoneId, derive_value};
use std::collections::BTreeSet;

derive_value! {
    /// A place to start targets and its price.
    #[derive(Eq)]
    pub struct Offer {
        /// The zone.
        pub zone: ZoneId,
        /// The price class.
        pub price_class: String,
        /// The price of a target for an hour.
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
        /// The model or service.
        pub role: String,
        /// How many targets must stay for live requests when any one zone is lost.
        pub live_floor: u32,
        /// The most targets at one time.
        pub max_targets: u32,
        /// Where targets may be started, and at what price.
        pub offers: Vec<Offer>,
    }
}

impl Pool {
    /// Returns the number of zones with an offer.
    pub fn zones(&self) -> u32 {
        let zones: BTreeSet<&ZoneId> = self.offers.iter().map(|offer| &offer.zone).collect();
        u32::try_from(zones.len()).unwrap_or(u32::MAX)
    }

    /// Returns the least number of targets of which `floor` are left when a zone is lost.
    ///
    /// With a single zone no number is enough; the floor itself is returned then.
    pub fn least_for_floor(&self, floor: u32, zones: u32) -> u32 {
        if zones < 2 {
            return floor;
        }
        (floor..).find(|n| n - n.div_ceil(zones) >= floor).unwrap_or(u32::MAX)
    }
}
