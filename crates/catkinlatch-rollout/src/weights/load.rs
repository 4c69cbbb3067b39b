//! Loads of weight versions by engines.

use catkinlatch_base::{TargetId, Version, derive_value};

derive_value! {
    /// The source from which an engine loads weights.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Source {
        /// The weight store.
        Store,
        /// Another engine, which reports that it has the version.
        Peer(TargetId),
    }
}

derive_value! {
    /// A load to order from an engine.
    pub struct Load {
        /// The engine that is to load.
        pub engine: TargetId,
        /// The weight version to load.
        pub version: Version,
        /// The source of the weights.
        pub source: Source,
    }
}

derive_value! {
    /// The outcome of a load.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The engine reports the version.
        Loaded,
        /// The engine refused the load or failed; it still has the version that it reports.
        Failed,
        /// Not known yet; the engine's next reports or the load timeout decide.
        Unknown,
    }
}
