//! The targets of one route as admission sees them: slots, and what waits for them.

use super::{Class, Speed, fair::Fair};
use catkinlatch_base::{Ratio, TeamId, Tokens};
use std::time::Duration;

/// How much of the served cost is forgotten with each start.
const SERVED_DECAY: f64 = 0.99;

/// The slots of one route on this node, and the requests that wait for them.
#[derive(Debug)]
pub struct Pool {
    /// How many requests this node may run at one time.
    pub slots: u32,
    /// How many it runs.
    pub running: u32,
    /// How fast a slot works.
    pub speed: Speed,
    rollout_floor: Ratio,
    served: [f64; 2],
    queues: [Fair; 2],
}

impl Pool {
    /// Creates a pool without slots.
    pub fn new(rollout_floor: Ratio) -> Self {
        let queues = [Fair::default(), Fair::default()];
        Self {
            slots: 0,
            running: 0,
            speed: Speed::default(),
            rollout_floor,
            served: [0.0; 2],
            queues,
        }
    }

    /// Returns the queue of a class.
    pub fn queue(&self, class: Class) -> &Fair {
        &self.queues[class as usize]
    }

    /// Returns the queue of a class.
    pub fn queue_mut(&mut self, class: Class) -> &mut Fair {
        &mut self.queues[class as usize]
    }

    /// Returns whether a slot is free.
    pub fn has_room(&self) -> bool {
        self.running < self.slots
    }

    /// Returns the classes in the order in which they are served now.
    ///
    /// Live requests go first unless rollouts had less than their floor.
    pub fn classes(&self) -> [Class; 2] {
        let [live, rollout] = self.served;
        if rollout < self.rollout_floor.get() * (live + rollout) {
            [Class::Rollout, Class::Live]
        } else {
            [Class::Live, Class::Rollout]
        }
    }

    /// Counts a request as running.
    pub fn start(&mut self, class: Class, team: &TeamId, cost: Tokens) {
        self.running += 1;
        self.queue_mut(class).charge(team, cost);
        self.served = self.served.map(|cost| cost * SERVED_DECAY);
        self.served[class as usize] += cost.get() as f64;
    }

    /// Estimates how long a new request of `team` waits for a slot.
    pub fn wait(&self, class: Class, team: &TeamId, weight: f64) -> Duration {
        let queue = self.queue(class);
        if self.has_room() && queue.is_empty() {
            return Duration::ZERO;
        }
        let lane = queue.lane(team);
        let ahead = lane.map_or(0, |lane| lane.queued_cost) as f64;
        let weight = lane.map_or(weight, |lane| lane.weight);
        let others = match lane {
            Some(lane) if lane.queued > 0 => queue.active_weight() - lane.weight,
            Some(_) | None => queue.active_weight(),
        };
        let share = weight / (weight + others.max(0.0)).max(1e-9);
        self.speed.time(ahead, f64::from(self.slots) * share)
    }
}
