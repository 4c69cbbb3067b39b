//! What teams used in a window of time.

use catkinlatch_base::{TeamId, derive_value};

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
    /// What is reported of a usage window.
    #[derive(Eq)]
    pub struct Window {
        /// What was used in it, in order of the teams.
        pub counts: Vec<Count>,
        /// Whether the platform has taken the report.
        pub is_reported: bool,
    }
}
