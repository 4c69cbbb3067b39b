//! What became of an item.

use catkinlatch_base::{Version, derive_value};

derive_value! {
    /// How an item ended.
    #[derive(Eq)]
    pub enum End {
        /// It has run and was scored.
        Completed {
            /// The data of all events, in order.
            text: String,
            /// The versions that made them.
            versions: Vec<Version>,
            /// The signature of the scoring call.
            score: Option<String>,
        },
        /// It was given up.
        Lost,
    }
}

derive_value! {
    /// What became of an item.
    #[derive(Eq)]
    pub struct Outcome {
        /// The item's position in its job.
        pub item: u32,
        /// How it ended.
        pub end: End,
    }
}

impl Outcome {
    /// Returns about how many bytes it takes.
    pub fn bytes(&self) -> usize {
        match &self.end {
            End::Completed { text, versions, .. } => text.len() + versions.len() * 8 + 128,
            End::Lost => 128,
        }
    }
}
