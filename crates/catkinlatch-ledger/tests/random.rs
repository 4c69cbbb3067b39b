//! Randomized simulation of the job ledger under leader changes, lost proposals and lost progress
//! records, restarts from snapshots, and engines with different results. Invariants are checked
//! after each step.
//!
//! That all hosts apply the same commands in the same order is guaranteed by the log, which has
//! randomized tests of its own. Here a leader may lose any suffix of its proposals.
//!
//! `CATKINLATCH_RUNS` sets the number of runs and `CATKINLATCH_SEED` the first seed.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]
#![allow(clippy::print_stdout, reason = "the seed is needed to reproduce a failed run")]

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

/// The number of runs per test case if `CATKINLATCH_RUNS` is not set.
const RUNS: u64 = 4;

/// The number of steps with faults per run.
const STEPS: u64 = 5_000;

fn env_or(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test_case(false; "samples of several versions")]
#[test_case(true; "samples of a single version")]
fn invariants_hold(is_single_version: bool) {
    let first = env_or("CATKINLATCH_SEED", 1);
    let (mut steps, mut listed) = (0, 0);
    for seed in first..first + env_or("CATKINLATCH_RUNS", RUNS) {
        println!("seed {seed}");
        let mut world = World::new(seed, is_single_version);
        world.run(STEPS);
        steps += world.steps;
        listed += world.checker.listed();
    }
    println!("{steps} steps, {listed} results");
    assert!(listed > steps / 100, "too little progress: {listed} results in {steps} steps");
}
