//! Authorization of requests.

use super::{Code, Refusal, credential::presented_key};
use crate::Node;
use catkinlatch_base::{Instant, KeyId, RequestId, RouteId, TeamId};
use catkinlatch_state::config::Route;
use http::HeaderMap;
use std::time::Duration;

/// Header with the request id, for callers and targets; a target must echo it.
///
/// The common `x-request-id` is accepted as well, but the HTTP library overwrites it in responses.
pub const REQUEST_ID: &str = "catkinlatch-request-id";

/// Time after which a caller may retry at a host without a current configuration, in milliseconds.
const CUT_OFF_RETRY_MS: u64 = 1_000;

/// Team of requests without a key on open routes.
const OPEN_TEAM: &str = "open";

/// A request whose key and route have been checked.
#[derive(Clone, Debug)]
pub struct AuthorizedRequest {
    /// The request id.
    pub request: RequestId,
    /// The team that it runs for.
    pub team: TeamId,
    /// The route that the request uses.
    pub route: Route,
    /// The time by which the request must be answered.
    pub deadline: Instant,
}

/// A caller's request, and the key that must stay in force while the request waits and runs.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The checked request.
    pub authorized: AuthorizedRequest,
    /// The id of the key; `None` if the request came without a key on an open route.
    pub key: Option<KeyId>,
}

impl Caller {
    /// Checks the key and the route of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this node's configuration may be outdated, the key is missing or not in
    /// force, or no route has this name.
    pub fn new(
        node: &Node,
        headers: &HeaderMap,
        request: RequestId,
        route: &str,
    ) -> Result<Self, Box<Refusal>> {
        check_configuration(node, &request)?;
        let state = node.control.state();
        let config = state.config();
        let found = route.parse::<RouteId>().ok().and_then(|id| config.routes().get(&id));
        let known = match presented_key(headers) {
            Some(key) => {
                config.authenticate(key).map(|(key, team)| (Some(key.clone()), team.clone()))
            }
            None if found.is_some_and(|route| route.open) => {
                OPEN_TEAM.parse().ok().map(|team| (None, team))
            }
            None => None,
        };
        let Some((key, team)) = known else {
            return Err(unauthorized(request).into());
        };
        let Some(route) = found else {
            let message = "no route has this name; ask your operator for the routes";
            return Err(Refusal::not_run(request, Code::NoRoute, message).into());
        };
        let deadline = node.clock.now() + Duration::from_millis(route.deadline_ms);
        Ok(Self {
            authorized: AuthorizedRequest { request, team, route: route.clone(), deadline },
            key,
        })
    }

    /// Returns whether the request's key is still in force.
    pub fn is_in_force(&self, node: &Node) -> bool {
        let Some(key) = &self.key else { return true };
        let state = node.control.state();
        state.config().keys().get(key).is_some_and(|key| key.team == self.authorized.team)
    }

    /// Checks the key again, which may have been withdrawn since.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is no longer in force or can no longer be checked.
    pub fn check_key(&self, node: &Node) -> Result<(), Box<Refusal>> {
        check_configuration(node, &self.authorized.request)?;
        if self.is_in_force(node) {
            return Ok(());
        }
        Err(unauthorized(self.authorized.request.clone()).into())
    }
}

/// Refuses requests while the node's configuration may be outdated: a key may have been withdrawn.
fn check_configuration(node: &Node, request: &RequestId) -> Result<(), Box<Refusal>> {
    if node.control.configuration_lease_end().is_some() {
        return Ok(());
    }
    let message = "this host is cut off from the others; ask for the entry addresses again";
    let refusal = Refusal::not_run(request.clone(), Code::Unavailable, message);
    Err(refusal.with_retry_after_ms(CUT_OFF_RETRY_MS).into())
}

fn unauthorized(request: RequestId) -> Refusal {
    let message = "the key is missing or not in force; send a key of your team";
    Refusal::not_run(request, Code::Unauthorized, message)
}

/// Returns the caller's request id, or a random one if it sent no valid id.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let header = headers.get(REQUEST_ID).or_else(|| headers.get("x-request-id"));
    let given = header.and_then(|value| value.to_str().ok());
    given.and_then(|text| text.parse().ok()).unwrap_or_else(|| {
        let text = format!("r-{:032x}", fastrand::u128(..));
        text.parse().expect("hexadecimal digits are valid in an id")
    })
}
