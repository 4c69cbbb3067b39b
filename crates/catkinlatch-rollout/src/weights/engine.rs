//! Engines as a roll-out sees them.

use catkinlatch_base::{TargetId, Version, ZoneId, derive_value};

derive_value! {
    /// An engine as it last reported itself.
    pub struct Engine {
        /// The engine.
        pub id: TargetId,
        /// Its zone.
        pub zone: ZoneId,
        /// The version that it reported.
        pub reported: Version,
    }
}
