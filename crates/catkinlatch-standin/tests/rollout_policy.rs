//! Tests of the rollout policy on simulated time.

use catkinlatch_standin::policy::rollout::{Case, Policy, SpreadCase, run, shares, spread};
use std::time::Duration;
use test_case::test_case;

/// Returns a small deployment, to keep the tests fast.
fn small(trainers: Vec<u32>) -> Case {
    Case {
        engines: 3,
        slots: 8,
        batch_samples: 64,
        trainers,
        duration: Duration::from_secs(600),
        ..Case::surveyors()
    }
}

#[test_case(vec![1], 1; "one trainer")]
#[test_case(vec![2, 1], 2; "two trainers")]
fn evidence_is_correct_and_staleness_within_the_bound(trainers: Vec<u32>, seed: u64) {
    let case = small(trainers);
    let metrics = run(&case, &Policy::production(), seed);
    assert!(metrics.batches > 0, "{metrics}");
    assert!(metrics.staleness_max <= case.max_age_versions, "{metrics}");
}

#[test]
fn equal_seeds_give_equal_figures() {
    let case = small(vec![1]);
    assert_eq!(run(&case, &Policy::production(), 3), run(&case, &Policy::production(), 3));
}

#[test]
fn trainers_get_their_shares() {
    let measured = shares(&small(vec![2, 1, 1]), 4);
    assert!(measured.worst_percent < 5.0, "{measured}");
    assert!(measured.regained_ms <= 1_000, "{measured}");
}

#[test]
fn waves_reach_600_engines_within_27_seconds_and_keep_two_thirds_serving() {
    let case = SpreadCase { engines: 600, store_loads: 8, load_ms: 2_500, waves: true };
    let measured = spread(&case, 5);
    assert!(measured.seconds <= 27.0, "{measured}");
    assert!(measured.most_loading_percent <= 34.0, "{measured}");
}
