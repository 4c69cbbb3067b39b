//! Engines, as far as a roll-out concerns them.

use catkinlatch_base::{TargetId, Version, ZoneId, derive_value};

derive_value! {
    /// An engine, as of its last report.
    pub struct Engine {
        /// The id of the engine.
        pub id: TargetId,
        /// The availability zone of the engine.
        pub zone: ZoneId,
        /// The weight version that the engine reported.
        pub reported: Version,
    }
}
