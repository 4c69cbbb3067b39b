//! Tests of the leader's list of requests that may crash targets.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{BootId, Incarnation, Instant};
use catkinlatch_ledger::suspect::Change;
use catkinlatch_state::suspect::{Fingerprint, Reply};
use catkinlatch_store::suspect::{Table, Urgency};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

const WALL_MS: u64 = 1_000_000;

const ID: Fingerprint = Fingerprint::new([1; 16]);

fn boot(number: usize) -> BootId {
    format!("target-{number}@1").parse().unwrap()
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn crashed(number: usize) -> Change {
    Change::Crashed { fingerprint: ID, boot: boot(number), ran_alone: number > 1 }
}

/// Returns a list in which the request has crashed two targets, at 1 s and at 2 s.
fn refused() -> Table {
    let mut table = Table::default();
    assert_eq!(table.apply(&crashed(1), at(1_000), WALL_MS).1, Urgency::Later);
    assert_eq!(table.apply(&crashed(2), at(2_000), WALL_MS).1, Urgency::Now);
    table
}

fn is_refused(table: &Table) -> bool {
    table.suspects().is_refused(&ID)
}

#[test_case(&[2_400], true; "just after the connection broke")]
#[test_case(&[2_600], true; "once, which may have been delayed")]
#[test_case(&[2_600, 2_650], true; "twice, delayed together")]
#[test_case(&[2_600, 3_200], false; "twice")]
#[test_case(&[], true; "never, since another start took its place")]
fn only_targets_that_announce_themselves_again_have_not_crashed(
    heard_ms: &[u64],
    refused_after: bool,
) {
    let mut table = refused();
    for ms in heard_ms {
        table.update(at(ms + 50), WALL_MS, || BTreeMap::from([(boot(2), at(*ms))]));
    }
    assert_eq!(is_refused(&table), refused_after);
}

#[test]
fn a_new_leader_retracts_crashes_that_it_adopted() {
    let mut table = Table::default();
    table.adopt(refused().suspects().clone());
    table.watch_all(at(10_000));
    let heard = |ms| BTreeMap::from([(boot(1), at(ms))]);
    assert!(table.update(at(11_000), WALL_MS, || heard(11_000)).0.is_empty());
    assert_eq!(table.update(at(12_000), WALL_MS, || heard(12_000)).0, [boot(1)]);
    assert!(!is_refused(&table));
}

#[test]
fn a_trial_lasts_for_the_time_that_was_asked_for() {
    let mut table = Table::default();
    table.apply(&crashed(1), at(0), WALL_MS);
    let start = Change::StartTrial {
        fingerprint: ID,
        target: "target-2".parse().unwrap(),
        process: Incarnation::new(1),
        for_ms: 400,
    };
    let mut ask = |wall_ms| table.apply(&start, at(0), wall_ms).0;
    assert_eq!(ask(WALL_MS), Reply::Granted);
    assert_eq!(ask(WALL_MS + 399), Reply::Busy);
    assert_eq!(ask(WALL_MS + 400), Reply::Granted);
}

fn silent(number: usize, ran_alone: bool) -> Change {
    Change::Silent { fingerprint: ID, boot: boot(number), ran_alone }
}

/// Targets of a dark rack end together under requests that ran among others; a request that ran
/// alone has ended its target.
#[test_case(false, true, false; "among others, and all ended")]
#[test_case(true, true, true; "alone, and all ended")]
#[test_case(true, false, false; "alone, and all live on")]
fn a_silent_target_counts_once_another_start_takes_its_place(
    ran_alone: bool,
    has_ended: bool,
    refused_after: bool,
) {
    let mut table = Table::default();
    table.apply(&silent(1, false), at(1_000), WALL_MS);
    table.apply(&silent(2, ran_alone), at(1_500), WALL_MS);
    let heard = |ms| BTreeMap::from([(boot(1), at(ms)), (boot(2), at(ms))]);
    table.update(at(2_500), WALL_MS, || heard(900));
    assert!(table.suspects().list().is_empty(), "nothing is known yet");
    let later = if has_ended { BTreeMap::new() } else { heard(3_000) };
    table.update(at(3_500), WALL_MS, || later.clone());
    assert!(!is_refused(&table), "a registration may still come");
    table.update(at(5_000), WALL_MS, || later);
    assert_eq!(is_refused(&table), refused_after);
    assert_eq!(table.suspects().list().is_empty(), !has_ended);
}

/// A request that was refused since its targets ended for another reason must come back.
#[test]
fn a_refused_request_runs_alone_twice_more_after_10_s_and_60_s() {
    let mut table = refused();
    let ask = |table: &mut Table, wall_ms| {
        let start = Change::StartTrial {
            fingerprint: ID,
            target: "target-9".parse().unwrap(),
            process: Incarnation::new(1),
            for_ms: 400,
        };
        table.apply(&start, at(0), wall_ms).0
    };
    let mut now_ms = WALL_MS;
    for (number, pause_ms) in [(3, 10_000), (4, 60_000)] {
        assert_eq!(ask(&mut table, now_ms + pause_ms - 1), Reply::Refused);
        assert_eq!(ask(&mut table, now_ms + pause_ms), Reply::Granted);
        now_ms += pause_ms;
        table.apply(&crashed(number), at(0), now_ms);
        assert!(is_refused(&table));
    }
    assert_eq!(ask(&mut table, now_ms + 3_000_000), Reply::Refused);
}

/// A request that many callers send meets another's crashes on several targets.
#[test]
fn crashes_beside_which_a_request_ran_among_others_do_not_get_it_refused() {
    let mut table = Table::default();
    for number in 1..10 {
        let beside = Change::Crashed { fingerprint: ID, boot: boot(number), ran_alone: false };
        table.apply(&beside, at(0), WALL_MS);
    }
    assert!(!is_refused(&table));
    table.apply(&crashed(10), at(0), WALL_MS);
    assert!(is_refused(&table));
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
