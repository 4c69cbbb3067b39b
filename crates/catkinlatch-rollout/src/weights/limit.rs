//! Limits of a roll-out.

use catkinlatch_base::{Ratio, derive_value};
use std::time::Duration;

derive_value! {
    /// Limits of a roll-out.
    pub struct Limits {
        /// How many engines may load from the weight store at one time.
        pub store_loads: u32,
        /// How many engines may load from one peer at one time; zero where engines cannot.
        pub peer_loads: u32,
        /// The share of the engines that keeps serving versions within the bound.
        pub least_serving: Ratio,
        /// How long a load may take before it counts as failed.
        pub load_timeout: Duration,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            store_loads: 2,
            peer_loads: 1,
            least_serving: Ratio::new(0.66),
            load_timeout: Duration::from_secs(60),
        }
    }
}
