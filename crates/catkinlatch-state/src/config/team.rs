//! Teams: the tenants to whom keys belong and work is billed.

use catkinlatch_base::{TeamId, Tokens, derive_schema};

derive_schema! {
    /// A team and its limits; a limit that is absent does not bind.
    pub struct Team {
        /// The name.
        pub id: TeamId,
        /// The team's share of contended capacity, against the weights of the other teams.
        pub weight: u32,
        /// The most requests that may run at one time over all nodes.
        pub concurrency: Option<u32>,
        /// The most requests that may start in a minute over all nodes.
        pub requests_per_minute: Option<u64>,
        /// The most tokens that may be used in a minute over all nodes.
        pub tokens_per_minute: Option<Tokens>,
        /// The most tokens that may be used in a usage window.
        pub budget_tokens_per_window: Option<Tokens>,
        /// Whether requests beyond the budget are refused, not only warned about.
        pub budget_refuses: bool,
    }
}

impl Team {
    /// Creates a team of weight 1 without limits.
    pub fn new(id: TeamId) -> Self {
        Self {
            id,
            weight: 1,
            concurrency: None,
            requests_per_minute: None,
            tokens_per_minute: None,
            budget_tokens_per_window: None,
            budget_refuses: false,
        }
    }

    /// Sets the weight.
    pub fn with_weight(self, weight: u32) -> Self {
        Self { weight, ..self }
    }
}
