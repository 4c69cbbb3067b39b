//! What teams used in a window of time.

use catkinlatch_base::{Incarnation, TeamId, WindowId, derive_value};

derive_value! {
    /// How many requests of a team began to run in a window.
    #[derive(Eq)]
    pub struct Count {
        /// The team.
        pub team: TeamId,
        /// The requests.
        pub requests: u64,
    }
}

derive_value! {
    /// What one process counted so far in a window.
    #[derive(Eq)]
    pub struct Counted {
        /// The start of the process.
        pub source: Incarnation,
        /// The window.
        pub window: WindowId,
        /// What it counted, which only grows.
        pub counts: Vec<Count>,
    }
}

derive_value! {
    /// What is reported of a usage window.
    #[derive(Eq)]
    pub struct Window {
        /// What was used in it, in order of the teams.
        pub counts: Vec<Count>,
        /// Whether the platform has taken the report.
        pub is_reported: bool,
    }
}
