//! The actions that orders request.

use catkinlatch_base::{ModelId, TargetId, Version, WindowId, ZoneId, derive_value};

derive_value! {
    /// The action that an order requests.
    pub enum Action {
        /// Asks the platform to start a target.
        Start {
            /// Model or service that the target is to serve.
            role: String,
            /// Availability zone to start the target in.
            zone: ZoneId,
            /// Price class of the target.
            price_class: String,
        },
        /// Asks the platform to stop a target.
        Stop {
            /// Target to stop.
            target: TargetId,
        },
        /// Asks an engine to load weights.
        LoadVersion {
            /// Engine that is to load the weights.
            target: TargetId,
            /// Model that the weights belong to.
            model: ModelId,
            /// Version of the weights.
            version: Version,
            /// Engine to load the weights from; `None` for the weight store.
            source: Option<TargetId>,
        },
        /// Sends the usage report of a frozen window to the platform.
        Report {
            /// Window that the report covers.
            window: WindowId,
            /// SHA-256 digest of the report's bytes, in hexadecimal.
            digest: String,
        },
    }
}
