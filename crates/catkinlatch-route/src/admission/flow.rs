//! The waiting requests of one team, called a flow in fair queueing.

use super::Waiter;
use catkinlatch_base::{Instant, Tokens};
use std::collections::VecDeque;

/// Units of virtual time that one token takes at weight 1.
const VIRTUAL_UNITS_PER_TOKEN: f64 = 65_536.0;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// Identifies the request at the gate.
    pub waiter: Waiter,
    /// Estimated cost in tokens.
    pub cost: Tokens,
    /// Time by which the request must be answered.
    pub deadline: Instant,
}

/// The waiting requests of one team, in first-in-first-out order.
#[derive(Debug)]
pub struct Flow {
    /// The requests, including abandoned ones that have not reached the front yet.
    pub items: VecDeque<Item>,
    /// The team's weight relative to the other flows.
    pub weight: f64,
    /// Virtual time up to which the team was served.
    pub virtual_finish: u64,
    /// Number of waiting requests, without the abandoned ones.
    pub queued: usize,
    /// Total estimated cost of the waiting requests, in tokens.
    pub queued_cost: u64,
}

impl Flow {
    /// Creates an empty flow that was served up to the virtual time `virtual_finish`.
    pub fn new(weight: f64, virtual_finish: u64) -> Self {
        Self { items: VecDeque::new(), weight, virtual_finish, queued: 0, queued_cost: 0 }
    }

    /// Returns the virtual time that `cost` takes at the flow's weight.
    pub fn virtual_duration(&self, cost: Tokens) -> u64 {
        (cost.get() as f64 * VIRTUAL_UNITS_PER_TOKEN / self.weight.max(1e-3)) as u64
    }

    /// Updates the counts for a request that was started or abandoned.
    pub fn record_removal(&mut self, cost: Tokens) {
        self.queued = self.queued.saturating_sub(1);
        self.queued_cost = self.queued_cost.saturating_sub(cost.get());
    }
}
