//! What a request asks of admission.

use catkinlatch_base::{Instant, RouteId, TeamId, Tokens};

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A caller waits for the answer.
    Live,
    /// A sample of a rollout.
    Rollout,
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The route, whose targets form one pool.
    pub route: RouteId,
    /// The team that the request runs for.
    pub team: TeamId,
    /// The team's share of contended capacity, against the weights of other teams.
    pub weight: u32,
    /// Whether a caller waits.
    pub class: Class,
    /// The estimated cost.
    pub cost: Tokens,
    /// When the request must be answered.
    pub deadline: Instant,
}
