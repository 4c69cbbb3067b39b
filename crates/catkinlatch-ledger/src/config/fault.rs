//! Validation errors of a configuration.

use catkinlatch_base::{ServiceId, TeamId};
use derive_more::Display;

/// A validation error of a [`super::Configuration`].
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// A route refers to a service that the configuration does not define.
    #[display("route {route} names service {service}, which is not listed; add it to the services")]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The undefined service.
        service: ServiceId,
    },
    /// The weights of a route's services do not add up to more than 0.
    #[display("the weights of route {route} add up to 0; give one service a weight above 0")]
    NoWeight {
        /// The name of the route.
        route: String,
    },
    /// A route has a timeout of 0 ms.
    #[display("route {route} has a timeout of 0 ms; give it a longer one or leave it out")]
    NoTimeout {
        /// The name of the route.
        route: String,
    },
    /// Two routes have the same host name and path prefix.
    #[display("route {route} has the host and prefix of an earlier route; remove one of them")]
    SamePlace {
        /// The name of the later route.
        route: String,
    },
    /// Two teams have the same API key.
    #[display("teams {} and {} share a key; draw a new key for one of them", teams[0], teams[1])]
    SharedKey {
        /// The names of the teams.
        teams: [TeamId; 2],
    },
}
