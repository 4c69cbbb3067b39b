//! Teams, the tenants that own API keys and are billed for usage.

use catkinlatch_base::{TeamId, Tokens, derive_schema};

derive_schema! {
    /// A team and its limits; an absent limit means unlimited.
    pub struct Team {
        /// Unique name of the team.
        pub id: TeamId,
        /// Share of contended capacity relative to the weights of the other teams.
        pub weight: u32,
        /// Maximum number of concurrent requests across all nodes.
        pub concurrency: Option<u32>,
        /// Maximum number of requests that may start per minute across all nodes.
        pub requests_per_minute: Option<u64>,
        /// Maximum number of tokens that may be used per minute across all nodes.
        pub tokens_per_minute: Option<Tokens>,
        /// Token budget per usage window.
        pub budget_tokens_per_window: Option<Tokens>,
        /// Whether requests beyond the budget are refused; otherwise they only cause a warning.
        pub budget_refuses: bool,
    }
}

impl Team {
    /// Creates a team with weight 1 and without limits.
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

    /// Sets the share of contended capacity relative to other teams.
    pub fn with_weight(self, weight: u32) -> Self {
        Self { weight, ..self }
    }
}
