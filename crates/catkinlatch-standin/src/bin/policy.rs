//! Simulates the admission and rollout policies under load and faults.

use argh::FromArgs;
use catkinlatch_standin::policy;
use std::io::{self, Write};

/// Simulates the admission and rollout policies under load and faults; equal seeds give equal
/// results.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    simulation: Simulation,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Simulation {
    Entry(Entry),
    Rollout(Rollout),
}

/// Measures shares of capacity, goodput under overload, and retries.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct Entry {
    /// seed of the simulation (default: 5)
    #[argh(option, default = "5")]
    seed: u64,
}

/// Measures trainer idle time, staleness, shares and the spread of weights.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
struct Rollout {
    /// seed of the simulation (default: 6)
    #[argh(option, default = "6")]
    seed: u64,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    let report = match arguments.simulation {
        Simulation::Entry(entry) => policy::entry::report(entry.seed),
        Simulation::Rollout(rollout) => policy::rollout::report(rollout.seed),
    };
    io::stdout().write_all(report.as_bytes())
}
