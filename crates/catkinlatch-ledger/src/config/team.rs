//! Teams and their API keys.

use catkinlatch_base::{TeamId, derive_value};

derive_value! {
    /// A team, which owns API keys and is billed for its requests.
    pub struct Team {
        /// The name of the team.
        pub name: TeamId,
        /// The API keys that authenticate requests of the team.
        pub keys: Vec<String>,
        /// The priority of the team's requests, which overrides that of the route; 0 is the
        /// highest.
        pub priority: Option<u8>,
    }
}
