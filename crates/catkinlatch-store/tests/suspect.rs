//! Tests of the leader's list of requests that may crash targets.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{BootId, Incarnation, Instant};
use catkinlatch_state::suspect::{Change, Fingerprint, Reply, Trial};
use catkinlatch_store::suspect::{Table, Urgency};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

const WALL_MS: u64 = 1_000_000;

fn boot(number: usize) -> BootId {
    format!("target-{number}@1").parse().unwrap()
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn crashed(number: usize) -> Change {
    let fingerprints = vec![Fingerprint::new([1; 16])];
    Change::Crashed { fingerprints, boot: boot(number), at_ms: 5 }
}

/// Returns a list in which the request has crashed two targets, at 1 s and at 2 s.
fn refused() -> Table {
    let mut table = Table::default();
    assert_eq!(table.apply(crashed(1), at(1_000), WALL_MS).1, Urgency::Later);
    assert_eq!(table.apply(crashed(2), at(2_000), WALL_MS).1, Urgency::Now);
    table
}

fn is_refused(table: &Table) -> bool {
    table.suspects().is_refused(&Fingerprint::new([1; 16]))
}

#[test_case(Some(2_400), true; "announced just after the connection broke")]
#[test_case(Some(2_600), false; "announced later")]
#[test_case(None, true; "replaced by another start")]
fn only_targets_that_are_announced_later_have_not_crashed(
    heard_ms: Option<u64>,
    refused_after: bool,
) {
    let mut table = refused();
    let starts = || heard_ms.map(|ms| (boot(2), at(ms))).into_iter().collect();
    let (survivors, _) = table.update(at(3_000), WALL_MS, starts);
    assert_eq!(survivors.is_empty(), refused_after);
    assert_eq!(is_refused(&table), refused_after);
}

#[test]
fn a_new_leader_retracts_crashes_that_it_adopted() {
    let mut table = Table::default();
    table.adopt(refused().suspects().clone());
    table.watch_all(at(10_000));
    let starts = || BTreeMap::from([(boot(1), at(11_000))]);
    assert_eq!(table.update(at(11_000), WALL_MS, starts).0, [boot(1)]);
    assert!(!is_refused(&table));
}

#[test]
fn the_clock_of_a_host_neither_prolongs_nor_ends_a_trial() {
    let mut table = Table::default();
    table.apply(crashed(1), at(0), WALL_MS);
    let start = |host_ms: u64| Change::StartTrial {
        fingerprint: Fingerprint::new([1; 16]),
        trial: Trial {
            target: "target-2".parse().unwrap(),
            node: Incarnation::new(1),
            until_ms: host_ms + 400,
        },
        now_ms: host_ms,
    };
    let mut ask = |host_ms, wall_ms| table.apply(start(host_ms), at(0), wall_ms).0;
    assert_eq!(ask(3 * WALL_MS, WALL_MS), Reply::Granted);
    assert_eq!(ask(9, WALL_MS + 399), Reply::Busy);
    assert_eq!(ask(9, WALL_MS + 400), Reply::Granted);
}

#[test]
fn a_request_is_forgotten_an_hour_after_its_last_crash() {
    let mut table = refused();
    let hour_ms = Duration::from_secs(3_600).as_millis() as u64;
    assert_eq!(table.update(at(2_000), WALL_MS + hour_ms - 1, BTreeMap::new).1, Urgency::None);
    assert!(is_refused(&table));
    assert_eq!(table.update(at(2_000), WALL_MS + hour_ms, BTreeMap::new).1, Urgency::Now);
    assert!(!is_refused(&table));
}
