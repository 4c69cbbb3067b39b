//! Cost and availability of a simulated run of placement.

use catkinlatch_fleet::spend::Money;
use std::{fmt, time::Duration};

/// Cost and availability of a simulated run of placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Cost of all targets.
    pub spend: Money,
    /// Cost of the cheapest schedule computed with knowledge of the whole run.
    pub cheapest_spend: Money,
    /// Work done on spot targets, in target seconds.
    pub spot_work: f64,
    /// All work done, in target seconds.
    pub work: f64,
    /// Live work for which there was no ready target, in target seconds.
    pub live_shortfall: f64,
    /// All offered live work, in target seconds.
    pub live: f64,
    /// Rollout work for which there was no ready target, in target seconds.
    pub rollout_shortfall: f64,
    /// All offered rollout work, in target seconds.
    pub rollout: f64,
    /// Time with fewer ready targets than the live floor, without the time counted in
    /// [`Self::below_floor_after_two_losses`].
    pub below_floor: Duration,
    /// Time with fewer ready targets than the live floor after a second loss, which came within
    /// the time allowed to replace the targets of the first loss.
    pub below_floor_after_two_losses: Duration,
    /// Time in which the loss of one zone's spot targets would have left fewer ready targets than
    /// the live floor, without the time allowed to replace the targets of an earlier loss.
    pub floor_exposed: Duration,
    /// Number of times that a zone lost its spot targets, if it had any.
    pub losses: u32,
    /// Number of started targets.
    pub starts: u32,
}

impl Outcome {
    /// Returns the spend relative to the cheapest schedule.
    pub fn spend_ratio(&self) -> f64 {
        self.spend.micros() as f64 / self.cheapest_spend.micros().max(1) as f64
    }

    /// Returns the share of work that ran on spot targets, from 0 to 1.
    pub fn spot_share(&self) -> f64 {
        share(self.spot_work, self.work)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "spend {:6.3} of cheapest, cheap share {:.3}, live short {:.4}, rollout short {:.4}, \
             floor broken {:>3} s, by two losses {:>3} s, exposed {:>3} s, losses {:>3}, \
             starts {:>4}",
            self.spend_ratio(),
            self.spot_share(),
            share(self.live_shortfall, self.live),
            share(self.rollout_shortfall, self.rollout),
            self.below_floor.as_secs(),
            self.below_floor_after_two_losses.as_secs(),
            self.floor_exposed.as_secs(),
            self.losses,
            self.starts,
        )
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
