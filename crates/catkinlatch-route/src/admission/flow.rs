//! The waiting requests of one team.

use super::Waiter;
use catkinlatch_base::{Instant, Tokens};
use std::collections::VecDeque;

/// Units of virtual time for one token at weight 1.
const TOKEN_UNITS: f64 = 65_536.0;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// Who waits.
    pub waiter: Waiter,
    /// The estimated cost.
    pub cost: Tokens,
    /// When the request must be answered.
    pub deadline: Instant,
}

/// The waiting requests of one team, first come first served.
#[derive(Debug)]
pub struct Lane {
    /// The requests, those that left included.
    pub items: VecDeque<Item>,
    /// The team's share of the pool, against other lanes.
    pub weight: f64,
    /// The virtual time up to which the team was served.
    pub served: u64,
    /// How many requests wait.
    pub queued: usize,
    /// What they cost together.
    pub queued_cost: u64,
}

impl Lane {
    /// Creates an empty lane.
    pub fn new(weight: f64, served: u64) -> Self {
        Self { items: VecDeque::new(), weight, served, queued: 0, queued_cost: 0 }
    }

    /// Returns the virtual time that `cost` takes.
    pub fn units(&self, cost: Tokens) -> u64 {
        (cost.get() as f64 * TOKEN_UNITS / self.weight.max(1e-3)) as u64
    }

    /// Stops counting a request that was started or left.
    pub fn forget(&mut self, cost: Tokens) {
        self.queued = self.queued.saturating_sub(1);
        self.queued_cost = self.queued_cost.saturating_sub(cost.get());
    }
}
