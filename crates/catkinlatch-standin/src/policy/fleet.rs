//! Simulates placement: spend relative to the cheapest schedule, the live floor, and the use of
//! spot targets.

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

/// Interval between decisions of placement.
pub const TICK: Duration = Duration::from_secs(10);

/// Time from the order of a target until it serves.
pub const BOOT_TIME: Duration = Duration::from_secs(90);

/// The result of one policy on one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Names of the deployment and of the pool.
    pub pool: String,
    /// Simulated policy.
    pub policy: Policy,
    /// Cost and availability under the policy.
    pub outcome: Outcome,
}

/// The results of all policies on all pools for one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// Seed of the load and the market.
    pub seed: u64,
    /// Results, ordered by pool, then policy.
    pub lines: Vec<Line>,
}

/// Simulates every policy on every pool of both deployments for `hours` simulated hours.
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
                outcome.cheapest_spend = cheapest;
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
