//! Roles of a node.

use catkinlatch_base::derive_key;
use derive_more::Display;

derive_key! {
    /// A role of a node.
    #[derive(Copy, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// Serves callers, trainers and targets.
        #[display("entry")]
        Entry,
        /// May become a voter of the control log.
        #[display("control")]
        Control,
        /// Relays the configuration to nodes of its zone.
        #[display("relay")]
        Relay,
    }
}

impl Role {
    /// Returns all roles.
    pub fn all() -> Vec<Self> {
        vec![Self::Entry, Self::Control, Self::Relay]
    }
}
