//! Eligibility of targets by the model or route that a request needs.

use super::Role;
use catkinlatch_base::{ModelId, RouteId};

/// The model or route that a target must serve to be eligible for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// Any engine that serves this model, whatever its weight version.
    Engine(ModelId),
    /// Any service of this route.
    Service(RouteId),
}

impl Selector {
    /// Returns whether a target with the given role is eligible.
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
