//! Services and the bounds within which they are scaled.

use catkinlatch_base::{ServiceId, ZoneId, derive_value};
use std::collections::BTreeMap;

derive_value! {
    /// How many targets of a service may be ordered, and at what price.
    pub struct Scaling {
        /// The minimum number of targets per zone.
        pub min: u32,
        /// The maximum number of targets per zone.
        pub max: u32,
        /// The time that a target takes to start, in seconds.
        pub boot_s: f64,
        /// The price of a spot target, which may be reclaimed, as a fraction of the full price.
        pub spot_price: Option<f64>,
        /// The price of one target for one second, by zone.
        pub zone_prices: BTreeMap<ZoneId, f64>,
    }
}

derive_value! {
    /// A service that routes send requests to.
    pub struct Service {
        /// The name of the service.
        pub name: ServiceId,
        /// The path of the health check of its targets.
        pub health_path: String,
        /// The maximum number of connections per target, over all callers.
        pub max_connections: u32,
        /// Whether its targets are engines, which generate tokens.
        pub is_engine: bool,
        /// The capacity of an engine's key-value cache, in tokens.
        pub cache_tokens: Option<u64>,
        /// How many targets may be ordered; `None` if the service is not scaled.
        pub scaling: Option<Scaling>,
    }
}
