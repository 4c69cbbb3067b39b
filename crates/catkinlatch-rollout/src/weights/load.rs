//! One engine's load of a version.

use catkinlatch_base::{TargetId, Version, derive_value};

derive_value! {
    /// Where an engine gets weights.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Source {
        /// The weight store.
        Store,
        /// Another engine that reports the version.
        Peer(TargetId),
    }
}

derive_value! {
    /// A load to order.
    pub struct Load {
        /// The engine.
        pub engine: TargetId,
        /// The version.
        pub version: Version,
        /// Where the engine gets it.
        pub source: Source,
    }
}

derive_value! {
    /// What became of a load.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The engine reports the version.
        Loaded,
        /// The engine refused or failed; it has what it reports.
        Failed,
        /// Nobody knows yet; what the engine reports decides, or the time limit.
        Unknown,
    }
}
