//! How many targets the present work needs.

use super::Pool;
use catkinlatch_base::{Ratio, derive_value};
use std::time::Duration;

/// How many targets are kept for each one that live requests need, since live load varies.
const LIVE_HEADROOM: f64 = 1.2;

/// In what time queued work shall be worked off.
const QUEUE_TIME: Duration = Duration::from_secs(120);

derive_value! {
    /// The work that is offered to one pool.
    #[derive(Copy)]
    pub struct Demand {
        /// Live requests: arrivals a second times target seconds each, in targets kept busy.
        pub live: f64,
        /// Rollouts that the trainers' shares ask for, in targets kept busy.
        pub rollout: f64,
        /// Work that waits in queues, in target seconds.
        pub queued: f64,
        /// The share of time that trainers wait for samples.
        pub trainer_idle: Ratio,
    }
}

impl Demand {
    /// Returns how many targets must be left when any one zone is lost.
    pub fn floor(&self, pool: &Pool) -> u32 {
        pool.live_floor.max(whole(self.live))
    }

    /// Returns how many targets are wanted.
    pub fn wanted(&self, pool: &Pool) -> u32 {
        let rollout = self.rollout * (1.0 + self.trainer_idle.get());
        let queued = self.queued / QUEUE_TIME.as_secs_f64();
        let work = whole(self.live * LIVE_HEADROOM + rollout + queued);
        work.max(pool.least_for_floor(self.floor(pool), pool.zones())).min(pool.max_targets)
    }
}

/// Rounds up to whole targets; a sliver of one is not worth a start.
fn whole(targets: f64) -> u32 {
    const SLIVER: f64 = 0.05;
    (targets - SLIVER).ceil().max(0.0) as u32
}
