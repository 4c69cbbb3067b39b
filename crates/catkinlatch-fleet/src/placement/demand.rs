//! Computes how many targets the current work requires.

use super::Pool;
use catkinlatch_base::{Ratio, derive_value};
use std::time::Duration;

/// How many targets are provisioned for each one that live requests keep busy, since live load
/// varies.
const LIVE_HEADROOM: f64 = 1.2;

/// The time within which queued work should be completed.
const QUEUE_DRAIN_TIME: Duration = Duration::from_secs(120);

derive_value! {
    /// The work offered to one pool.
    #[derive(Copy)]
    pub struct Demand {
        /// Targets kept busy by live requests: arrivals per second times target seconds for each.
        pub live: f64,
        /// Targets kept busy by the rollouts that the trainers' shares require.
        pub rollout: f64,
        /// Queued work, in target seconds.
        pub queued: f64,
        /// The share of time that trainers spend waiting for samples.
        pub trainer_idle: Ratio,
    }
}

impl Demand {
    /// Returns how many targets must remain when any one zone is lost.
    pub fn floor(&self, pool: &Pool) -> u32 {
        pool.live_floor.max(round_up(self.live))
    }

    /// Returns how many targets are wanted, at most the pool's maximum.
    pub fn wanted(&self, pool: &Pool) -> u32 {
        let rollout = self.rollout * (1.0 + self.trainer_idle.get());
        let queued = self.queued / QUEUE_DRAIN_TIME.as_secs_f64();
        let work = round_up(self.live * LIVE_HEADROOM + rollout + queued);
        work.max(pool.least_for_floor(self.floor(pool), pool.zones())).min(pool.max_targets)
    }
}

/// Rounds up to whole targets, but ignores a small fraction that is not worth a start.
fn round_up(targets: f64) -> u32 {
    const ROUNDING_TOLERANCE: f64 = 0.05;
    (targets - ROUNDING_TOLERANCE).ceil().max(0.0) as u32
}
