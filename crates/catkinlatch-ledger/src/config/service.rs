//! Services and how many targets they may have.

use catkinlatch_base::{ServiceId, ZoneId, derive_value};
use std::collections::BTreeMap;

derive_value! {
    /// How many targets of a service may be ordered, and at which price.
    pub struct Scaling {
        /// The fewest targets of a zone.
        pub min: u32,
        /// The most targets of a zone.
        pub max: u32,
        /// How long a target takes to start, in seconds.
        pub boot_s: f64,
        /// The price of a target that may be taken away, as a share of the full price.
        pub spot_price: Option<f64>,
        /// The price of a target's second in each zone.
        pub zone_prices: BTreeMap<ZoneId, f64>,
    }
}

derive_value! {
    /// A service that routes lead to.
    pub struct Service {
        /// Its name.
        pub name: ServiceId,
        /// The path of its health check.
        pub health_path: String,
        /// The most connections that a target takes from all callers together.
        pub max_connections: u32,
        /// Whether its targets generate tokens.
        pub is_engine: bool,
        /// The tokens that a target can keep, if it is an engine.
        pub memory_tokens: Option<u64>,
        /// How many targets it may have, if they can be ordered.
        pub scaling: Option<Scaling>,
    }
}
