//! What is wrong with a configuration.

use catkinlatch_base::{ServiceId, TeamId};
use derive_more::Display;

/// Something that is wrong with a [`super::Configuration`].
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// A route leads to a service that is not listed.
    #[display("route {route} names service {service}, which is not listed; add it to the services")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceId,
    },
    /// The weights of a route's services add up to nothing.
    #[display("the weights of route {route} add up to 0; give one service a weight above 0")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route has no time.
    #[display("route {route} has a timeout of 0 ms; give it a longer one or leave it out")]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// Two routes have the same host and prefix.
    #[display("route {route} has the host and prefix of an earlier route; remove one of them")]
    SamePlace {
        /// The later route.
        route: String,
    },
    /// Two teams hold the same key.
    #[display("teams {} and {} share a key; draw a new key for one of them", teams[0], teams[1])]
    SharedKey {
        /// The teams.
        teams: [TeamId; 2],
    },
}
