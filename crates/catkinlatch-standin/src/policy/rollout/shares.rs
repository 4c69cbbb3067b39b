//! Measures how slots are divided between trainers that all have work.

use super::{Case, Policy, run::Simulation};
use catkinlatch_base::Ratio;
use derive_more::Display;
use std::time::Duration;

/// How many ticks a window has: ten seconds.
const WINDOW_TICKS: usize = 40;

/// How many windows are measured.
const WINDOWS: usize = 30;

/// How many batches each trainer posts, so that it always has work.
const BACKLOG: u64 = 8;

/// How the slots were divided.
#[derive(Clone, Debug, PartialEq, Display)]
#[display(
    "worst share of a 10 s window against the weight {worst_percent:.2}% off; a lent share was \
     back after {regained_ms} ms"
)]
pub struct Shares {
    /// The largest difference of a trainer's share of a window from its weight, in percent of the
    /// weight.
    pub worst_percent: f64,
    /// How long after a trainer had work again it had its share, in milliseconds.
    pub regained_ms: u64,
}

/// Measures the division for a case whose trainers never run out of work.
pub fn shares(case: &Case, seed: u64) -> Shares {
    let policy = Policy { hedge: false, ahead: Ratio::new(BACKLOG as f64), ..Policy::present() };
    let case = Case { duration: Duration::ZERO, ..case.clone() };
    let mut simulation = Simulation::new(&case, &policy, seed);
    for trainer in &mut simulation.trainers {
        trainer.post(&case, BACKLOG);
    }
    simulation.trainers[0].weight = 0;
    simulation.tick();
    simulation.trainers[0].weight = case.trainers[0];
    let regained_ms = regain(&mut simulation);
    let total: f64 = case.trainers.iter().copied().map(f64::from).sum();
    let mut worst: f64 = 0.0;
    for _ in 0..WINDOWS {
        let used = window(&mut simulation);
        let all: f64 = used.iter().sum();
        for (used, weight) in used.iter().zip(&case.trainers) {
            let due = f64::from(*weight) / total;
            worst = worst.max((used / all / due - 1.0).abs());
        }
    }
    Shares { worst_percent: 100.0 * worst, regained_ms }
}

/// Returns how long the first trainer takes to have its share of slots.
fn regain(simulation: &mut Simulation<'_>) -> u64 {
    let mut ticks = 0;
    loop {
        simulation.tick();
        ticks += 1;
        let running: Vec<usize> = simulation.trainers.iter().map(|t| t.pool.running()).collect();
        if running[0] * 2 >= running.iter().sum() || ticks > WINDOW_TICKS {
            return ticks as u64 * 250;
        }
    }
}

/// Returns the slots that each trainer used, summed over a window.
fn window(simulation: &mut Simulation<'_>) -> Vec<f64> {
    let mut used = vec![0.0; simulation.trainers.len()];
    for _ in 0..WINDOW_TICKS {
        simulation.tick();
        for (used, trainer) in used.iter_mut().zip(&simulation.trainers) {
            *used += trainer.pool.running() as f64;
        }
    }
    used
}
