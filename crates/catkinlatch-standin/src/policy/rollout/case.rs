//! Simulated deployments, and the policies to compare on them.

use catkinlatch_base::Ratio;
use catkinlatch_rollout::{pool::Order, weights::Limits};
use std::time::Duration;

/// A simulated deployment and its load.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name in the report.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Samples that an engine runs concurrently.
    pub slots: usize,
    /// Tokens that an engine generates per second for each sample.
    pub tokens_per_second: f64,
    /// Share weight of each trainer.
    pub trainers: Vec<u32>,
    /// Samples in a batch.
    pub batch_samples: u32,
    /// Samples in a group.
    pub group_samples: u32,
    /// Maximum staleness of a delivered sample, in versions behind the newest.
    pub max_age_versions: u64,
    /// Offered load as a share of the capacity.
    pub offered_load: Ratio,
    /// Engines that can load from the weight store at the same time without slowing each other.
    pub store_loads: u32,
    /// Time that an engine takes to load weights when no others load.
    pub load_time: Duration,
    /// Simulated time of a run.
    pub duration: Duration,
}

impl Case {
    /// Returns the deployment of Harrowgate & Pell: nine engines and one trainer.
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
            offered_load: Ratio::new(0.8),
            store_loads: 2,
            load_time: Duration::from_secs(4),
            duration: Duration::from_secs(3600),
        }
    }

    /// Returns the deployment of Dar es Salaam: nine engines shared by three trainers.
    pub fn port() -> Self {
        Self {
            name: "Dar es Salaam: 9 engines, 3 trainers of weights 2, 1, 1",
            trainers: vec![2, 1, 1],
            batch_samples: 512,
            load_time: Duration::from_secs(2),
            ..Self::surveyors()
        }
    }

    /// Returns the number of slots of all engines together.
    pub fn total_slots(&self) -> usize {
        self.engines * self.slots
    }

    /// Returns the number of groups in a batch.
    pub fn batch_groups(&self) -> u32 {
        self.batch_samples / self.group_samples
    }
}

/// A rollout policy.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Name in the report.
    pub name: &'static str,
    /// The order in which samples run and groups are delivered.
    pub order: Order,
    /// Whether samples that delay their group get a second run.
    pub hedge: bool,
    /// Limit on the samples in flight beyond the next batch, as a share of a batch.
    pub ahead: Ratio,
    /// Whether new weights are rolled out in waves rather than to all engines at once.
    pub waves: bool,
}

impl Policy {
    /// Returns the production policy, variants of it with one feature disabled each, and the
    /// baseline.
    pub fn all() -> Vec<Self> {
        let production = Self::production();
        vec![
            production.clone(),
            Self { name: "arrival order", order: Order::Arrival, ..production.clone() },
            Self { name: "no hedging", hedge: false, ..production.clone() },
            Self { name: "nothing ahead", ahead: Ratio::new(0.0), ..production.clone() },
            Self { name: "all engines at once", waves: false, ..production },
            Self::baseline(),
        ]
    }

    /// Returns the production policy.
    pub fn production() -> Self {
        Self {
            name: "present",
            order: Order::LongestFirst,
            hedge: true,
            ahead: Ratio::new(0.75),
            waves: true,
        }
    }

    /// Returns the baseline: arrival order, no hedging, and new weights to all engines at once.
    pub fn baseline() -> Self {
        Self {
            name: "baseline",
            order: Order::Arrival,
            hedge: false,
            ahead: Ratio::new(0.75),
            waves: false,
        }
    }

    /// Returns the limits of a weight roll-out under this policy.
    pub fn limits(&self, case: &Case) -> Limits {
        let waves = Limits { store_loads: case.store_loads, ..Limits::default() };
        if self.waves {
            return waves;
        }
        Limits { store_loads: u32::MAX, peer_loads: 0, least_serving: Ratio::new(0.0), ..waves }
    }
}
