//! What a run of placement came to.

use catkinlatch_fleet::spend::Money;
use std::{fmt, time::Duration};

/// What a run of placement came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// What the targets cost.
    pub spend: Money,
    /// What the cheapest schedule known afterwards costs.
    pub cheapest: Money,
    /// The work done on cheap targets, in target seconds.
    pub cheap_work: f64,
    /// All work done, in target seconds.
    pub work: f64,
    /// Live work that found no target, in target seconds.
    pub live_short: f64,
    /// All live work, in target seconds.
    pub live: f64,
    /// Rollout work that found no target, in target seconds.
    pub rollout_short: f64,
    /// All rollout work, in target seconds.
    pub rollout: f64,
    /// For how long fewer targets were ready than the live floor, other than below.
    pub floor_broken: Duration,
    /// For how long they were fewer after a second zone was lost within the time in which the
    /// loss of the first is made good.
    pub floor_broken_twice: Duration,
    /// For how long the loss of one zone's cheap targets would have broken the live floor, other
    /// than while an earlier loss was being made good.
    pub floor_exposed: Duration,
    /// How many times all cheap targets of a zone were lost.
    pub losses: u32,
    /// How many targets were started.
    pub starts: u32,
}

impl Outcome {
    /// Returns the spend in proportion to the cheapest schedule.
    pub fn spend_ratio(&self) -> f64 {
        self.spend.micros() as f64 / self.cheapest.micros().max(1) as f64
    }

    /// Returns the share of work that ran on cheap targets.
    pub fn cheap_share(&self) -> f64 {
        share(self.cheap_work, self.work)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "spend {:6.3} of cheapest, cheap share {:.3}, live short {:.4}, rollout short {:.4}, \
             floor broken {:>3} s, by two losses {:>3} s, exposed {:>3} s, losses {:>3}, starts {:>4}",
            self.spend_ratio(),
            self.cheap_share(),
            share(self.live_short, self.live),
            share(self.rollout_short, self.rollout),
            self.floor_broken.as_secs(),
            self.floor_broken_twice.as_secs(),
            self.floor_exposed.as_secs(),
            self.losses,
            self.starts,
        )
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
