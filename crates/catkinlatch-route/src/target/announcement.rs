//! What a target says about itself.

use catkinlatch_base::{BootId, ModelId, RouteId, TargetId, Version, ZoneId, derive_schema};

derive_schema! {
    /// A target's announcement, repeated as its heartbeat.
    pub struct Announcement {
        /// The target's name.
        pub id: TargetId,
        /// Identifies this start of the target's process.
        pub boot: BootId,
        /// What it serves.
        pub role: Role,
        /// The availability zone.
        pub zone: ZoneId,
        /// Where it takes requests and orders, as `host:port`.
        pub address: String,
        /// How many requests it runs at one time.
        pub slots: u32,
        /// The price class, such as `full` or `cheap`.
        pub price_class: String,
        /// Whether it refuses orders with an old fencing number.
        pub checks_fencing: bool,
    }
}

derive_schema! {
    /// What a target serves.
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// A model engine.
        Engine {
            /// The model.
            model: ModelId,
            /// The version of the weights that are loaded.
            version: Version,
        },
        /// A plain service.
        Service {
            /// The route that it serves.
            route: RouteId,
        },
    }
}
