//! An admitted request.

use super::{Code, Refusal, credential::presented_key};
use crate::Node;
use catkinlatch_base::{Instant, KeyId, RequestId, RouteId, TeamId};
use catkinlatch_state::config::Route;
use http::HeaderMap;
use std::time::Duration;

/// The header that names a request towards callers and targets; a target must echo it.
///
/// The usual `x-request-id` is read as well, but the HTTP library overwrites it in answers.
pub const REQUEST_ID: &str = "catkinlatch-request-id";

/// When a caller may ask a host again that was cut off, in milliseconds.
const CUT_OFF_RETRY_MS: u64 = 1_000;

/// The team that requests without a key run for, on open routes.
const OPEN_TEAM: &str = "open";

/// A request that passed the checks of its key and route.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Identifies the request.
    pub request: RequestId,
    /// The team that it runs for.
    pub team: TeamId,
    /// The route that it takes.
    pub route: Route,
    /// When it must be answered.
    pub deadline: Instant,
}

/// A caller's request: the ticket, and the key that must stay in force while it waits and runs.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The request.
    pub ticket: Ticket,
    /// The key that came with it, unless the route is open.
    pub key: Option<KeyId>,
}

impl Caller {
    /// Checks the key and the route of a request.
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
        Ok(Self { ticket: Ticket { request, team, route: route.clone(), deadline }, key })
    }

    /// Returns whether the request's key is still in force.
    pub fn is_in_force(&self, node: &Node) -> bool {
        let Some(key) = &self.key else { return true };
        let state = node.control.state();
        state.config().keys().get(key).is_some_and(|key| key.team == self.ticket.team)
    }

    /// Refuses a request if its key was withdrawn while it waited, or can no longer be checked.
    pub fn check_key(&self, node: &Node) -> Result<(), Box<Refusal>> {
        check_configuration(node, &self.ticket.request)?;
        if self.is_in_force(node) {
            return Ok(());
        }
        Err(unauthorized(self.ticket.request.clone()).into())
    }
}

/// Refuses work while the node's configuration may be old: a key may have been withdrawn.
fn check_configuration(node: &Node, request: &RequestId) -> Result<(), Box<Refusal>> {
    if node.control.serving_until().is_some() {
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

/// Keeps the caller's request id, or makes one.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let header = headers.get(REQUEST_ID).or_else(|| headers.get("x-request-id"));
    let given = header.and_then(|value| value.to_str().ok());
    given.and_then(|text| text.parse().ok()).unwrap_or_else(|| {
        let text = format!("r-{:032x}", fastrand::u128(..));
        text.parse().expect("hexadecimal digits are valid in an id")
    })
}
