//! What is measured: sizes of a deployment, and policies to compare.

use catkinlatch_base::Ratio;
use catkinlatch_rollout::{pool::Order, weights::Limits};
use std::time::Duration;

/// Sizes of a deployment.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name in the report.
    pub name: &'static str,
    /// How many engines there are.
    pub engines: usize,
    /// How many samples an engine runs at one time.
    pub slots: usize,
    /// Tokens that an engine generates for one sample in a second.
    pub tokens_per_second: f64,
    /// The weight of each trainer.
    pub trainers: Vec<u32>,
    /// How many samples a batch holds.
    pub batch_samples: u32,
    /// How many samples a group has.
    pub group_samples: u32,
    /// How many versions a sample may lie behind the newest.
    pub max_age_versions: u64,
    /// The work offered, as a share of the capacity.
    pub offered: Ratio,
    /// How many engines can load from the store at its full rate.
    pub store_loads: u32,
    /// How long one engine takes to load alone.
    pub load_time: Duration,
    /// How long the measurement runs.
    pub duration: Duration,
}

impl Case {
    /// Returns the sizes of Harrowgate & Pell: nine engines and one trainer.
    pub fn surveyors() -> Self {
        Self {
            name: "Harrowgate & Pell: 9 engines, 1 trainer",
            engines: 9,
            slots: 32,
            tokens_per_second: 40.0,
            trainers: vec![1],
            batch_samples: 1024,
            group_samples: 8,
            max_age_versions: 2,
            offered: Ratio::new(0.8),
            store_loads: 2,
            load_time: Duration::from_secs(4),
            duration: Duration::from_secs(3600),
        }
    }

    /// Returns the sizes of Dar es Salaam: nine engines and three trainers that share them.
    pub fn port() -> Self {
        Self {
            name: "Dar es Salaam: 9 engines, 3 trainers of weights 2, 1, 1",
            trainers: vec![2, 1, 1],
            batch_samples: 512,
            load_time: Duration::from_secs(2),
            ..Self::surveyors()
        }
    }

    /// Returns how many slots all engines have.
    pub fn all_slots(&self) -> usize {
        self.engines * self.slots
    }

    /// Returns how many groups make a batch.
    pub fn batch_groups(&self) -> u32 {
        self.batch_samples / self.group_samples
    }
}

/// A policy to compare.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name in the report.
    pub name: &'static str,
    /// The order in which samples run and groups are delivered.
    pub order: Order,
    /// Whether samples that hold up their group get a second run.
    pub hedge: bool,
    /// Samples under way beyond the next batch, as a share of a batch.
    pub ahead: Ratio,
    /// Whether new weights go out in waves, or to all engines at once.
    pub waves: bool,
}

impl Policy {
    /// Returns the policy in use, the baseline, and the policy with one part taken out each.
    pub fn all() -> Vec<Self> {
        let present = Self::present();
        vec![
            present.clone(),
            Self { name: "arrival order", order: Order::Arrival, ..present.clone() },
            Self { name: "no hedging", hedge: false, ..present.clone() },
            Self { name: "nothing ahead", ahead: Ratio::new(0.0), ..present.clone() },
            Self { name: "all engines at once", waves: false, ..present },
            Self::baseline(),
        ]
    }

    /// Returns the policy in use.
    pub fn present() -> Self {
        Self {
            name: "present",
            order: Order::LongestFirst,
            hedge: true,
            ahead: Ratio::new(0.75),
            waves: true,
        }
    }

    /// Returns the baseline: arrival order, no second runs, and all engines at once.
    pub fn baseline() -> Self {
        Self {
            name: "baseline",
            order: Order::Arrival,
            hedge: false,
            ahead: Ratio::new(0.75),
            waves: false,
        }
    }

    /// Returns the limits of a roll-out of weights.
    pub fn limits(&self, case: &Case) -> Limits {
        let waves = Limits { store_loads: case.store_loads, ..Limits::default() };
        if self.waves {
            return waves;
        }
        Limits { store_loads: u32::MAX, peer_loads: 0, least_serving: Ratio::new(0.0), ..waves }
    }
}
