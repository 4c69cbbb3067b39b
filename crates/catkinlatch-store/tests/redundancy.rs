//! Tests of the reports on how many voters may be lost.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::Instant;
use catkinlatch_log::Redundancy;
use catkinlatch_store::redundancy::{Monitor, Step};
use std::time::Duration;

fn redundancy(losses: usize, silent: &[&str]) -> Redundancy {
    let silent = silent.iter().map(|host| host.parse().unwrap()).collect();
    Redundancy { losses, silent }
}

#[test]
fn a_lost_voter_is_reported_once_with_the_time_before() {
    let mut monitor = Monitor::default();
    let (whole, lost) = (redundancy(1, &[]), redundancy(0, &["10.0.0.2"]));
    let checks = [&whole, &whole, &whole, &lost, &whole, &lost, &lost, &lost];
    let steps: Vec<Step> = (0_u64..)
        .zip(checks)
        .map(|(number, check)| monitor.check(check.clone(), Instant::from_millis(500 * number)))
        .collect();
    let reports: Vec<(usize, &Step)> =
        steps.iter().enumerate().filter(|(_, step)| **step != Step::Nothing).collect();
    let expected = [
        (1, &Step::Report(whole, Duration::ZERO)),
        (6, &Step::Report(lost, Duration::from_millis(2_500))),
    ];
    assert_eq!(reports, expected);
}
