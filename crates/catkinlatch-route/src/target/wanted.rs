//! Which targets may serve a request.

use super::Role;
use catkinlatch_base::{ModelId, RouteId};

/// What a target must serve to be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// An engine of this model.
    Engine(ModelId),
    /// A plain service of this route.
    Service(RouteId),
}

impl Wanted {
    /// Returns whether a target in that role serves it.
    pub fn matches(&self, role: &Role) -> bool {
        match (self, role) {
            (Self::Engine(wanted), Role::Engine { model, .. }) => wanted == model,
            (Self::Service(wanted), Role::Service { route }) => wanted == route,
            (Self::Engine(_), Role::Service { .. }) | (Self::Service(_), Role::Engine { .. }) => {
                false
            }
        }
    }
}
