//! Announcements by which targets register with the nodes.

use catkinlatch_base::{BootId, ModelId, RouteId, TargetId, Version, ZoneId, derive_schema};

derive_schema! {
    /// A target's registration, which the target repeats as its heartbeat.
    pub struct Announcement {
        /// The target's id, which stays the same across restarts.
        pub id: TargetId,
        /// Identifies this start of the target's process; a restart changes it.
        pub boot: BootId,
        /// The model or route that the target serves.
        pub role: Role,
        /// The availability zone of the target.
        pub zone: ZoneId,
        /// Address at which the target accepts requests and orders, as `host:port`.
        pub address: String,
        /// The maximum number of requests that the target runs concurrently.
        pub slots: u32,
        /// The price class of the target, such as `full` or `cheap`.
        pub price_class: String,
        /// Whether the target rejects orders with an outdated fencing token.
        pub checks_fencing: bool,
    }
}

derive_schema! {
    /// The kind of a target, and the model or route that it serves.
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// A target that generates with a model.
        Engine {
            /// The model that the engine serves.
            model: ModelId,
            /// The weight version that the engine has loaded.
            version: Version,
        },
        /// A target that is not an engine.
        Service {
            /// The route whose requests the service accepts.
            route: RouteId,
        },
    }
}
