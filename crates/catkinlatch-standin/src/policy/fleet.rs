//! Measures placement: spend against the cheapest schedule, the live floor, and cheap targets.

mod cheapest;
mod deployment;
mod load;
mod market;
mod outcome;
mod run;

pub use self::{
    deployment::{Deployment, Workload},
    load::Load,
    market::Market,
    outcome::Outcome,
    run::{Policy, run},
};

use std::{fmt, time::Duration};

/// How often placement decides.
pub const TICK: Duration = Duration::from_secs(10);

/// How long a target takes from its order until it serves.
pub const BOOT: Duration = Duration::from_secs(90);

/// One line of the measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The deployment and the pool.
    pub pool: String,
    /// The policy.
    pub policy: Policy,
    /// What came of it.
    pub outcome: Outcome,
}

/// All lines of the measurement for one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// The seed.
    pub seed: u64,
    /// The lines, by pool and policy.
    pub lines: Vec<Line>,
}

/// Runs every policy over every pool of both deployments for some simulated hours.
pub fn measure(seed: u64, hours: u32) -> Measurement {
    let mut lines = Vec::new();
    for deployment in Deployment::all() {
        for workload in &deployment.workloads {
            let mut random = fastrand::Rng::with_seed(seed);
            let load = Load::draw(workload, hours, &mut random);
            let market = Market::draw(&workload.pool, hours, &mut random);
            let cheapest = cheapest::cost(&workload.pool, &load, &market);
            for policy in Policy::ALL {
                let mut outcome = run(policy, &workload.pool, &load, &market);
                outcome.cheapest = cheapest;
                let pool = format!("{} {}", deployment.name, workload.pool.role);
                lines.push(Line { pool, policy, outcome });
            }
        }
    }
    Measurement { seed, lines }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        for line in &self.lines {
            writeln!(f, "{:<20} {:<16} {}", line.pool, line.policy.to_string(), line.outcome)?;
        }
        Ok(())
    }
}
