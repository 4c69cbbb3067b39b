//! Requests for admission.

use catkinlatch_base::{Instant, RouteId, TeamId, Tokens};

/// The traffic class of a request; each class has its own queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A request whose caller waits for the answer.
    Live,
    /// A request that generates a sample of a rollout.
    Rollout,
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// The route of the request; the targets of a route form one pool.
    pub route: RouteId,
    /// The team on whose behalf the request runs.
    pub team: TeamId,
    /// The team's weight, which sets its share of contended capacity relative to other teams.
    pub weight: u32,
    /// The traffic class of the request.
    pub class: Class,
    /// The estimated cost in tokens.
    pub cost: Tokens,
    /// Time by which the request must be answered.
    pub deadline: Instant,
}
