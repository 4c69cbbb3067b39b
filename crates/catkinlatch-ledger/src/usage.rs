//! Usage of teams in windows of time.

use catkinlatch_base::{Incarnation, TeamId, WindowId, derive_value};

derive_value! {
    /// The number of requests of a team that started to run in a window.
    #[derive(Eq)]
    pub struct Count {
        /// The team that sent the requests.
        pub team: TeamId,
        /// The number of requests.
        pub requests: u64,
    }
}

derive_value! {
    /// The counts of one process in a window so far.
    #[derive(Eq)]
    pub struct Tally {
        /// The incarnation of the process that counted.
        pub source: Incarnation,
        /// The window that the counts belong to.
        pub window: WindowId,
        /// The cumulative counts, which never decrease.
        pub counts: Vec<Count>,
    }
}

derive_value! {
    /// A closed usage window, as it is reported to the platform.
    #[derive(Eq)]
    pub struct Window {
        /// The counts of all processes together, in order of the teams.
        pub counts: Vec<Count>,
        /// Whether the platform has accepted the report.
        pub is_reported: bool,
    }
}
