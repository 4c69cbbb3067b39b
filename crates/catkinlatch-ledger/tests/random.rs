//! Long randomised runs of the job ledger under changes of leader, lost proposals and records,
//! restarts from snapshots, and engines of all kinds, with the invariants checked as they go.
//!
//! That all hosts apply the same commands in one order is the log's part, which has such runs of
//! its own; here a leader may lose any suffix of what it proposed.
//!
//! `CATKINLATCH_RUNS` sets the number of runs and `CATKINLATCH_SEED` the first seed.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]
#![allow(clippy::print_stdout, reason = "a failed run tells its seed")]

#[path = "random/check.rs"]
mod check;
#[path = "random/leader.rs"]
mod leader;
#[path = "random/model.rs"]
mod model;
#[path = "random/world.rs"]
mod world;

use std::env;
use test_case::test_case;
use world::World;

/// Runs of each case when the environment does not say otherwise.
const RUNS: u64 = 4;

/// Steps of one run under faults.
const STEPS: u64 = 5_000;

fn from_environment(name: &str, otherwise: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[test_case(false; "samples of any versions")]
#[test_case(true; "samples of one version")]
fn invariants_hold(is_single_version: bool) {
    let first = from_environment("CATKINLATCH_SEED", 1);
    let (mut steps, mut listed) = (0, 0);
    for seed in first..first + from_environment("CATKINLATCH_RUNS", RUNS) {
        println!("seed {seed}");
        let mut world = World::new(seed, is_single_version);
        world.run(STEPS);
        steps += world.steps;
        listed += world.check.listed();
    }
    println!("{steps} steps, {listed} results");
    assert!(listed > steps / 100, "little was done: {listed} results in {steps} steps");
}
