//! Measures how slots are divided among trainers that all have work.

use super::{Case, Policy, run::Simulation};
use catkinlatch_base::Ratio;
use derive_more::Display;
use std::time::Duration;

/// Ticks in a measurement window of ten seconds.
const WINDOW_TICKS: usize = 40;

/// Number of measured windows.
const WINDOWS: usize = 30;

/// Batches that each trainer posts in advance, so that it always has work.
const BACKLOG_BATCHES: u64 = 8;

/// Accuracy of the division of slots among trainers.
#[derive(Clone, Debug, PartialEq, Display)]
#[display(
    "worst share of a 10 s window against the weight {worst_percent:.2}% off; a lent share was \
     back after {regained_ms} ms"
)]
pub struct Shares {
    /// Largest relative deviation of a trainer's slot share in a window from the share that its
    /// weight entitles it to.
    pub worst_percent: f64,
    /// Time that the first trainer took to regain its share after it had no work for a tick, in
    /// milliseconds.
    ///
    /// It counts as regained when the trainer runs half of all samples.
    pub regained_ms: u64,
}

/// Measures the division of slots in a case whose trainers never run out of work.
pub fn shares(case: &Case, seed: u64) -> Shares {
    let policy =
        Policy { hedge: false, ahead: Ratio::new(BACKLOG_BATCHES as f64), ..Policy::production() };
    let case = Case { duration: Duration::ZERO, ..case.clone() };
    let mut simulation = Simulation::new(&case, &policy, seed);
    for trainer in &mut simulation.trainers {
        trainer.post_groups(&case, BACKLOG_BATCHES);
    }
    simulation.trainers[0].weight = 0;
    simulation.tick();
    simulation.trainers[0].weight = case.trainers[0];
    let regained_ms = regained_after_ms(&mut simulation);
    let total: f64 = case.trainers.iter().copied().map(f64::from).sum();
    let mut worst: f64 = 0.0;
    for _ in 0..WINDOWS {
        let used = used_in_window(&mut simulation);
        let all: f64 = used.iter().sum();
        for (used, weight) in used.iter().zip(&case.trainers) {
            let entitled = f64::from(*weight) / total;
            worst = worst.max((used / all / entitled - 1.0).abs());
        }
    }
    Shares { worst_percent: 100.0 * worst, regained_ms }
}

/// Returns the time until the first trainer runs half of all samples, in milliseconds.
///
/// Gives up after little more than a window.
fn regained_after_ms(simulation: &mut Simulation<'_>) -> u64 {
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

/// Returns the slots that each trainer used, summed over the ticks of a window.
fn used_in_window(simulation: &mut Simulation<'_>) -> Vec<f64> {
    let mut used = vec![0.0; simulation.trainers.len()];
    for _ in 0..WINDOW_TICKS {
        simulation.tick();
        for (used, trainer) in used.iter_mut().zip(&simulation.trainers) {
            *used += trainer.pool.running() as f64;
        }
    }
    used
}
