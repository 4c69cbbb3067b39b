//! Measures the policy under load and faults.

use argh::FromArgs;
use catkinlatch_standin::policy;
use std::io::{self, Write};

/// Measures the policy under load and faults; equal seeds give equal figures.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    part: Part,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Part {
    Entry(Entry),
    Rollout(Rollout),
}

/// Measures shares of capacity, useful work under overload, and retries.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct Entry {
    /// the seed (default: 5)
    #[argh(option, default = "5")]
    seed: u64,
}

/// Measures trainer idle time, staleness, shares and the spread of weights.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
struct Rollout {
    /// the seed (default: 6)
    #[argh(option, default = "6")]
    seed: u64,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    let report = match arguments.part {
        Part::Entry(entry) => policy::entry::report(entry.seed),
        Part::Rollout(rollout) => policy::rollout::report(rollout.seed),
    };
    io::stdout().write_all(report.as_bytes())
}
