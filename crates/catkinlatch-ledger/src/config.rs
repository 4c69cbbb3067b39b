//! The configuration, which operators send as a single document.

mod document;
mod fault;
mod limits;
mod route;
mod service;
mod team;

pub use self::{
    document::Document,
    fault::Fault,
    limits::Limits,
    route::{Kind, Route, Share},
    service::{Scaling, Service},
    team::Team,
};

use catkinlatch_base::{ServiceId, TeamId, derive_value};
use std::collections::{BTreeMap, BTreeSet};

derive_value! {
    /// The routes, services, limits and teams of the system.
    pub struct Configuration {
        /// The version, which grows with each change; the highest takes effect.
        pub version: u64,
        /// The routes, in the order of the document.
        pub routes: Vec<Route>,
        /// The services that routes refer to.
        pub services: Vec<Service>,
        /// Limits on the size and duration of requests.
        pub limits: Limits,
        /// The teams and their API keys; empty if callers need no key.
        pub teams: Vec<Team>,
    }
}

impl Configuration {
    /// Returns the route of a request: among those for its host name, the one with the longest
    /// matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.prefix);
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }

    /// Returns the team that owns an API key.
    pub fn team_of(&self, key: &str) -> Option<&TeamId> {
        let holds = |team: &&Team| team.keys.iter().any(|held| held == key);
        self.teams.iter().find(holds).map(|team| &team.name)
    }

    /// Returns the priority of a team's requests on a route: that of the team if it has one,
    /// otherwise that of the route. 0 is the highest.
    pub fn priority(&self, route: &Route, team: Option<&TeamId>) -> u8 {
        let named = self.teams.iter().find(|other| Some(&other.name) == team);
        named.and_then(|team| team.priority).unwrap_or(route.priority)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns all validation errors. A configuration with any error must not take effect.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let services: BTreeSet<&ServiceId> = self.services.iter().map(|s| &s.name).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            let name = route.name.clone();
            for share in &route.shares {
                if !services.contains(&share.service) {
                    let service = share.service.clone();
                    faults.push(Fault::UnknownService { route: name.clone(), service });
                }
            }
            if route.shares.iter().map(|share| share.weight).sum::<f64>() <= 0.0 {
                faults.push(Fault::NoWeight { route: name.clone() });
            }
            if route.timeout_ms == Some(0) {
                faults.push(Fault::NoTimeout { route: name.clone() });
            }
            if !places.insert((&route.host, &route.prefix)) {
                faults.push(Fault::SamePlace { route: name });
            }
        }
        faults.extend(self.shared_keys());
        faults
    }

    fn shared_keys(&self) -> Vec<Fault> {
        let mut holders: BTreeMap<&str, &TeamId> = BTreeMap::new();
        let mut faults = Vec::new();
        for team in &self.teams {
            for key in &team.keys {
                let other = holders.insert(key, &team.name).filter(|other| **other != team.name);
                if let Some(other) = other {
                    let teams = [other.clone(), team.name.clone()];
                    faults.push(Fault::SharedKey { teams });
                }
            }
        }
        faults
    }
}
