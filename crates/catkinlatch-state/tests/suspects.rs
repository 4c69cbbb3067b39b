//! Tests of suspects, including a randomized simulation of callers that resend through any node.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{BootId, Incarnation, TargetId};
use catkinlatch_state::suspect::{
    Change, Fingerprint, MAX_CRASHES, MAX_SUSPECTS, RETENTION_MS, Reply, Suspects, Trial,
};
use std::collections::BTreeSet;
use test_case::test_case;

fn target(number: usize) -> TargetId {
    format!("engine-{number}").parse().unwrap()
}

fn boot(number: usize) -> BootId {
    format!("boot-{number}").parse().unwrap()
}

fn fingerprint(number: usize) -> Fingerprint {
    Fingerprint::new((number as u128).to_be_bytes())
}

/// Retries a request that crashes its targets, and the requests that were in flight beside it. The
/// bad request must be refused after [`MAX_CRASHES`] crashes, and each good one cleared.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn one_bad_request_crashes_two_targets(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut suspects = Suspects::default();
    let bad = 0;
    let good: Vec<usize> = (1..30).collect();
    let all = |numbers: &[usize]| numbers.iter().map(|n| fingerprint(*n)).collect();
    let with_bad: Vec<usize> = good.iter().copied().chain([bad]).collect();
    suspects.apply(&Change::Crashed { fingerprints: all(&with_bad), boot: boot(0), at_ms: 0 });
    let mut crashes = 1;
    let mut cleared = BTreeSet::new();
    let mut running: Vec<(usize, Trial)> = Vec::new();
    for now_ms in 1..5_000 {
        let number = random.usize(0..30);
        let trial = Trial {
            target: target(random.usize(0..9)),
            node: Incarnation::new(random.u128(1..7)),
            until_ms: now_ms + 60_000,
        };
        let change =
            Change::StartTrial { fingerprint: fingerprint(number), trial: trial.clone(), now_ms };
        if suspects.apply(&change) == Reply::Granted {
            assert!(running.iter().all(|(n, t)| *n != number && t.target != trial.target));
            running.push((number, trial));
        }
        if running.is_empty() || random.bool() {
            continue;
        }
        let (number, trial) = running.swap_remove(random.usize(0..running.len()));
        if number == bad {
            crashes += 1;
            let crashed = Change::Crashed {
                fingerprints: all(&[bad]),
                boot: boot(now_ms as usize),
                at_ms: now_ms,
            };
            suspects.apply(&crashed);
        } else if random.u32(0..4) == 0 {
            let fingerprint = fingerprint(number);
            suspects.apply(&Change::EndTrial { fingerprint, node: trial.node });
        } else {
            suspects.apply(&Change::Clear { fingerprint: fingerprint(number) });
            cleared.insert(number);
        }
    }
    assert_eq!(crashes, MAX_CRASHES);
    assert!(suspects.is_refused(&fingerprint(bad)));
    assert_eq!(cleared.len(), good.len(), "each good request is cleared");
}

#[test]
fn a_trial_of_a_crashed_node_expires() {
    let mut suspects = Suspects::default();
    suspects.apply(&Change::Crashed {
        fingerprints: vec![fingerprint(1)],
        boot: boot(1),
        at_ms: 0,
    });
    let trial = |until_ms| Trial { target: target(1), node: Incarnation::new(1), until_ms };
    let start = |now_ms| Change::StartTrial {
        fingerprint: fingerprint(1),
        trial: trial(now_ms + 100),
        now_ms,
    };
    assert_eq!(suspects.apply(&start(0)), Reply::Granted);
    assert_eq!(suspects.apply(&start(99)), Reply::Busy);
    assert!(suspects.is_trial_target(&target(1), 99));
    assert_eq!(suspects.apply(&start(100)), Reply::Granted);
}

#[test]
fn suspects_are_bounded_and_expire() {
    let mut suspects = Suspects::default();
    for number in 0..=MAX_SUSPECTS {
        let at_ms = number as u64;
        suspects.apply(&Change::Crashed {
            fingerprints: vec![fingerprint(number)],
            boot: boot(number),
            at_ms,
        });
    }
    assert_eq!(suspects.list().len(), MAX_SUSPECTS);
    assert!(suspects.get(&fingerprint(0)).is_none());
    suspects.apply(&Change::Expire { now_ms: RETENTION_MS + MAX_SUSPECTS as u64 });
    assert!(suspects.list().is_empty());
}

#[test]
fn a_crash_reported_twice_counts_once() {
    let mut suspects = Suspects::default();
    for at_ms in 0..3 {
        let fingerprints = vec![fingerprint(1)];
        suspects.apply(&Change::Crashed { fingerprints, boot: boot(1), at_ms });
    }
    assert!(!suspects.is_refused(&fingerprint(1)));
}

#[test]
fn a_target_that_did_not_crash_clears_its_suspects() {
    let mut suspects = Suspects::default();
    for number in 1..3 {
        let fingerprints = vec![fingerprint(1)];
        suspects.apply(&Change::Crashed { fingerprints, boot: boot(number), at_ms: 0 });
    }
    suspects.apply(&Change::Survived { boot: boot(1) });
    assert!(!suspects.is_refused(&fingerprint(1)));
    assert!(suspects.get(&fingerprint(1)).is_some());
    suspects.apply(&Change::Survived { boot: boot(2) });
    assert!(suspects.list().is_empty());
}

#[test]
fn a_crash_reported_twice_ends_the_trial() {
    let mut suspects = Suspects::default();
    let crashed = Change::Crashed { fingerprints: vec![fingerprint(1)], boot: boot(1), at_ms: 0 };
    suspects.apply(&crashed);
    let trial = Trial { target: target(1), node: Incarnation::new(1), until_ms: 60_000 };
    let start = Change::StartTrial { fingerprint: fingerprint(1), trial, now_ms: 0 };
    assert_eq!(suspects.apply(&start), Reply::Granted);
    suspects.apply(&crashed);
    assert_eq!(suspects.apply(&start), Reply::Granted);
}

#[test]
fn only_a_crash_under_a_run_alone_counts_beyond_the_first() {
    let mut suspects = Suspects::default();
    assert!(suspects.counts_crash(&fingerprint(1), false));
    let fingerprints = vec![fingerprint(1)];
    suspects.apply(&Change::Crashed { fingerprints, boot: boot(1), at_ms: 0 });
    assert!(!suspects.counts_crash(&fingerprint(1), false));
    assert!(suspects.counts_crash(&fingerprint(1), true));
    suspects.apply(&Change::Survived { boot: boot(1) });
    assert!(suspects.counts_crash(&fingerprint(1), false));
}
