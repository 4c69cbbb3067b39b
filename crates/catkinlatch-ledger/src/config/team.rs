//! Teams and their keys.

use catkinlatch_base::{TeamId, derive_value};

derive_value! {
    /// A team, to which keys belong and work is billed.
    pub struct Team {
        /// Its name.
        pub name: TeamId,
        /// The keys that it holds.
        pub keys: Vec<String>,
        /// Its rank, which goes before that of a route; 0 is the highest.
        pub priority: Option<u8>,
    }
}
