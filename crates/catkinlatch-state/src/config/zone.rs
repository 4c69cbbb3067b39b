//! Availability zones and price classes of targets.

use catkinlatch_base::{PriceClassId, RegionId, ZoneId, derive_schema};

derive_schema! {
    /// An availability zone in which targets may run.
    #[derive(Eq)]
    pub struct Zone {
        /// Unique name of the zone.
        pub id: ZoneId,
        /// Region that contains the zone; absent if it is not specified.
        pub region: Option<RegionId>,
        /// Whether targets may run in the zone.
        pub in_use: bool,
    }
}

impl Zone {
    /// Creates a zone that is in use.
    pub fn new(id: ZoneId) -> Self {
        Self { id, region: None, in_use: true }
    }

    /// Sets whether targets may run in the zone.
    pub fn with_in_use(self, in_use: bool) -> Self {
        Self { in_use, ..self }
    }
}

derive_schema! {
    /// A price class of targets.
    #[derive(Eq)]
    pub struct PriceClass {
        /// Unique name of the price class, which targets announce.
        pub id: PriceClassId,
        /// Price of one target per hour, in thousandths of the currency unit.
        pub price_per_hour_thousandths: u64,
        /// Whether the platform may reclaim its targets on notice.
        pub may_vanish: bool,
    }
}

impl PriceClass {
    /// Creates a price class whose targets are not reclaimed.
    pub fn new(id: PriceClassId, price_per_hour_thousandths: u64) -> Self {
        Self { id, price_per_hour_thousandths, may_vanish: false }
    }

    /// Sets whether the platform may reclaim its targets on notice.
    pub fn with_may_vanish(self, may_vanish: bool) -> Self {
        Self { may_vanish, ..self }
    }
}
