//! Requests that ask for a slot, and what becomes of them.

use super::Flow;
use catkinlatch_base::{Instant, TeamId};
use derive_more::Display;

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The rank; 0 is served first.
    pub rank: u8,
    /// The team; `None` if the caller has no key.
    pub team: Option<TeamId>,
    /// Whether the caller returns after a refusal.
    pub is_return: bool,
    /// When the request is refused if it has not run.
    pub give_up_at: Instant,
}

impl Arrival {
    pub(super) fn flow(&self) -> Flow {
        Flow { rank: self.rank, team: self.team.clone() }
    }
}

/// Reasons for which a request is refused; it has not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// It waited as long as it may.
    #[display("no place within its time")]
    TimeOver,
    /// So many go before it that it cannot run within its time.
    #[display("too many go before it")]
    TooManyBefore,
    /// The queue is full of requests that go before it.
    #[display("the queue is full")]
    QueueFull,
}

/// What becomes of a request that arrives or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It tries the targets now.
    Run,
    /// It waits; [`Queue::poll`](super::Queue::poll) returns its next step.
    Wait,
    /// It is refused.
    Refuse(Reason),
}

/// The load of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// The highest rank among them.
    pub rank: u8,
}
