//! Checks the objectives of placement on the pools of both deployments, with fixed seeds.

use catkinlatch_standin::policy::fleet::{Line, Policy, measure};
use std::time::Duration;
use test_case::test_case;

const HOURS: u32 = 24;

#[test_case(1)]
#[test_case(2)]
fn placement_meets_its_objectives(seed: u64) {
    let measurement = measure(seed, HOURS);
    let lines_of = |policy: Policy| {
        let lines = measurement.lines.iter();
        lines.filter(move |line| line.policy == policy).collect::<Vec<&Line>>()
    };
    assert_eq!(lines_of(Policy::Placement).len(), 4);
    for line in lines_of(Policy::Placement) {
        let outcome = &line.outcome;
        assert!(outcome.spend_ratio() < 1.15, "{}: {outcome}", line.pool);
        assert!(outcome.spot_share() > 0.6, "{}: {outcome}", line.pool);
        assert_eq!(outcome.below_floor, Duration::ZERO, "{}: {outcome}", line.pool);
        assert_eq!(outcome.floor_exposed, Duration::ZERO, "{}: {outcome}", line.pool);
        assert!(outcome.losses > 0, "{}: no zone was lost", line.pool);
    }
}

#[test]
fn same_seed_gives_the_same_figures() {
    assert_eq!(measure(3, 6), measure(3, 6));
    assert_ne!(measure(3, 6).lines, measure(4, 6).lines);
}
