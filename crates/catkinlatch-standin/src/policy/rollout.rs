//! Simulates rollouts: trainer idle time, staleness, slot shares, and the spread of new weights.

mod case;
mod engine;
mod metrics;
mod run;
mod shares;
mod spread;
mod trainer;

pub use self::{
    case::{Case, Policy},
    metrics::Metrics,
    run::run,
    shares::{Shares, shares},
    spread::{Spread, SpreadCase, spread},
};

use std::fmt::Write;

/// Simulates every case under every policy and returns the results as text.
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    for case in [Case::surveyors(), Case::port()] {
        let _ = writeln!(text, "{}", case.name);
        for policy in Policy::all() {
            let _ = writeln!(text, "  {:<28}{}", policy.name, run(&case, &policy, seed));
        }
    }
    let _ = writeln!(text, "Slots of three trainers with weights 2, 1, 1");
    let _ = writeln!(text, "  {}", shares(&Case::port(), seed));
    let _ = writeln!(text, "Roll-out of a version");
    for case in SpreadCase::all() {
        let _ = writeln!(text, "  {case}: {}", spread(&case, seed));
    }
    text
}
