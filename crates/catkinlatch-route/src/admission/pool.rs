//! Slots of one route, and the requests that wait for them.

use super::{Class, Throughput, queue::Queue};
use catkinlatch_base::{Ratio, TeamId, Tokens};
use std::time::Duration;

/// Factor by which the served cost of both classes decays with each started request.
const SERVED_DECAY: f64 = 0.99;

/// The slots of one route on this node, and the requests that wait for them.
#[derive(Debug)]
pub struct Pool {
    /// Maximum number of requests that this node may run concurrently.
    pub slots: u32,
    /// Number of requests that this node runs.
    pub running: u32,
    /// Measured throughput of one slot.
    pub throughput: Throughput,
    rollout_floor: Ratio,
    served_tokens: [f64; 2],
    queues: [Queue; 2],
}

impl Pool {
    /// Creates a pool without slots that guarantees rollouts the share `rollout_floor`.
    pub fn new(rollout_floor: Ratio) -> Self {
        let queues = [Queue::default(), Queue::default()];
        Self {
            slots: 0,
            running: 0,
            throughput: Throughput::default(),
            rollout_floor,
            served_tokens: [0.0; 2],
            queues,
        }
    }

    pub fn queue(&self, class: Class) -> &Queue {
        &self.queues[class as usize]
    }

    pub fn queue_mut(&mut self, class: Class) -> &mut Queue {
        &mut self.queues[class as usize]
    }

    pub fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Returns the classes in the order in which they are served now.
    ///
    /// Live requests go first unless rollouts were served less than their guaranteed share.
    pub fn class_order(&self) -> [Class; 2] {
        let [live, rollout] = self.served_tokens;
        if rollout < self.rollout_floor.get() * (live + rollout) {
            [Class::Rollout, Class::Live]
        } else {
            [Class::Live, Class::Rollout]
        }
    }

    /// Counts a request as running, and charges its team and class.
    pub fn start(&mut self, class: Class, team: &TeamId, cost: Tokens) {
        self.running += 1;
        self.queue_mut(class).charge(team, cost);
        self.served_tokens = self.served_tokens.map(|cost| cost * SERVED_DECAY);
        self.served_tokens[class as usize] += cost.get() as f64;
    }

    /// Estimates how long a new request of `team` waits for a slot.
    ///
    /// `weight` is used for a team that has no flow yet.
    pub fn estimate_wait(&self, class: Class, team: &TeamId, weight: f64) -> Duration {
        let queue = self.queue(class);
        if self.has_free_slot() && queue.is_empty() {
            return Duration::ZERO;
        }
        let flow = queue.flow(team);
        let ahead = flow.map_or(0, |flow| flow.queued_cost) as f64;
        let weight = flow.map_or(weight, |flow| flow.weight);
        let others = match flow {
            Some(flow) if flow.queued > 0 => queue.active_weight() - flow.weight,
            Some(_) | None => queue.active_weight(),
        };
        let share = weight / (weight + others.max(0.0)).max(1e-9);
        self.throughput.estimate(ahead, f64::from(self.slots) * share)
    }
}
