//! Limits of a roll-out.

use catkinlatch_base::{Ratio, derive_value};
use std::time::Duration;

derive_value! {
    /// Limits of a roll-out.
    pub struct Limits {
        /// Maximum number of engines that load from the weight store concurrently.
        pub store_loads: u32,
        /// Maximum number of engines that load from one peer concurrently; zero if engines cannot
        /// load from peers.
        pub peer_loads: u32,
        /// Minimum share of the engines that keep serving versions within the bound.
        pub least_serving: Ratio,
        /// Time after which a load counts as failed.
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
