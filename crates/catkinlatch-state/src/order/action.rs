//! What an order asks for.

use catkinlatch_base::{ModelId, TargetId, Version, WindowId, ZoneId, derive_value};

derive_value! {
    /// What an order asks for.
    pub enum Action {
        /// Asks the platform to start a target.
        Start {
            /// The model or service that it shall serve.
            role: String,
            /// The zone.
            zone: ZoneId,
            /// The price class.
            price_class: String,
        },
        /// Asks the platform to stop a target.
        Stop {
            /// The target.
            target: TargetId,
        },
        /// Asks an engine to load weights.
        LoadVersion {
            /// The engine.
            target: TargetId,
            /// The model.
            model: ModelId,
            /// The version.
            version: Version,
            /// The engine to load it from; the weight store if absent.
            source: Option<TargetId>,
        },
        /// Gives the platform the usage report of a frozen window.
        Report {
            /// The window.
            window: WindowId,
            /// The SHA-256 of the report's bytes, in hexadecimal digits.
            digest: String,
        },
    }
}
