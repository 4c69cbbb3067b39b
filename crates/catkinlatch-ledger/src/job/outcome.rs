//! The result of an item.

use catkinlatch_base::{Version, derive_value};

derive_value! {
    /// The final state of an item.
    #[derive(Eq)]
    pub enum End {
        /// The item was generated, and scored if it has a scorer.
        Completed {
            /// The data of all events, in order, separated by line feeds.
            text: String,
            /// The versions of the weights that generated the events.
            versions: Vec<Version>,
            /// The signature that the scoring request returned; `None` if the item has no scorer.
            score: Option<String>,
        },
        /// The item was given up.
        Lost,
    }
}

derive_value! {
    /// The result of an item.
    #[derive(Eq)]
    pub struct Outcome {
        /// The item's position in its job.
        pub item: u32,
        /// The final state of the item.
        pub end: End,
    }
}

impl Outcome {
    /// Returns the approximate size of the result, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.end {
            End::Completed { text, versions, .. } => text.len() + versions.len() * 8 + 128,
            End::Lost => 128,
        }
    }
}
