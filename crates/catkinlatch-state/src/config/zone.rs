//! Availability zones and price classes of targets.

use catkinlatch_base::{PriceClassId, RegionId, ZoneId, derive_schema};

derive_schema! {
    /// An availability zone in which targets may run.
    #[derive(Eq)]
    pub struct Zone {
        /// The name.
        pub id: ZoneId,
        /// The region that it lies in.
        pub region: Option<RegionId>,
        /// Whether targets are to run there.
        pub in_use: bool,
    }
}

impl Zone {
    /// Creates a zone that is in use.
    pub fn new(id: ZoneId) -> Self {
        Self { id, region: None, in_use: true }
    }

    /// Sets whether targets are to run there.
    pub fn with_in_use(self, in_use: bool) -> Self {
        Self { in_use, ..self }
    }
}

derive_schema! {
    /// A price class of targets.
    #[derive(Eq)]
    pub struct PriceClass {
        /// The name, as targets announce it.
        pub id: PriceClassId,
        /// What one target costs an hour, in thousandths of the currency.
        pub price_per_hour_thousandths: u64,
        /// Whether its targets may vanish on notice.
        pub may_vanish: bool,
    }
}

impl PriceClass {
    /// Creates a price class whose targets stay.
    pub fn new(id: PriceClassId, price_per_hour_thousandths: u64) -> Self {
        Self { id, price_per_hour_thousandths, may_vanish: false }
    }

    /// Sets whether its targets may vanish on notice.
    pub fn with_may_vanish(self, may_vanish: bool) -> Self {
        Self { may_vanish, ..self }
    }
}
