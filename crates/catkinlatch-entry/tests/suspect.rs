//! Tests of an entry host's copy of the requests that may crash targets.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{Instant, Term};
use catkinlatch_entry::suspect::{State, Table};
use catkinlatch_ledger::{Target, registry::Phase, suspect::Change};
use catkinlatch_runtime::message::ViewVersion;
use catkinlatch_state::suspect::{Fingerprint, Suspects};
use std::{collections::BTreeMap, iter};
use test_case::test_case;

const WALL_MS: u64 = 1_000;

const ID: Fingerprint = Fingerprint::new([1; 16]);

fn crashed(target: usize) -> Change {
    let boot = format!("target-{target}@1").parse().unwrap();
    Change::Crashed { fingerprint: ID, boot, ran_alone: target > 1 }
}

fn version(term: u64, revision: u64) -> ViewVersion {
    ViewVersion { term: Term::new(term), revision }
}

fn list(changes: &[Change]) -> Suspects {
    let mut suspects = Suspects::default();
    changes.iter().for_each(|change| {
        change.apply(&mut suspects, WALL_MS);
    });
    suspects
}

/// Confirms all reports, as a leader that answers does, and returns them.
fn report(table: &mut Table) -> Vec<Change> {
    iter::from_fn(|| {
        let change = table.unreported()?;
        table.set_reported(&change);
        Some(change)
    })
    .collect()
}

#[test]
fn a_host_without_a_leader_refuses_by_what_it_saw_itself() {
    let mut table = Table::default();
    table.apply(&crashed(1), WALL_MS);
    assert_eq!(table.state(&ID), State::Suspect);
    table.apply(&crashed(2), WALL_MS);
    assert_eq!(table.state(&ID), State::Refused);
    table.adopt(version(1, 1), Suspects::default(), WALL_MS);
    assert_eq!(table.state(&ID), State::Refused, "the leader's list lacks what is not reported");
    assert_eq!(report(&mut table), [crashed(1), crashed(2)]);
}

#[test]
fn a_leader_that_lost_the_list_gets_it_again() {
    let mut table = Table::default();
    table.adopt(version(1, 1), list(&[crashed(1), crashed(2)]), WALL_MS);
    table.adopt(version(2, 0), Suspects::default(), WALL_MS);
    assert_eq!(table.state(&ID), State::Refused);
    assert_eq!(report(&mut table).len(), 2);
}

/// Guards against a request that crashes targets on each host again, after a leader is lost that had
/// confirmed its crashes and told nobody yet.
#[test]
fn a_crash_that_only_a_lost_leader_confirmed_is_reported_again() {
    let mut table = Table::default();
    table.adopt(version(1, 1), Suspects::default(), WALL_MS);
    table.apply(&crashed(1), WALL_MS);
    assert_eq!(report(&mut table), [crashed(1)]);
    table.adopt(version(2, 0), Suspects::default(), WALL_MS + 2_000);
    assert_eq!(table.state(&ID), State::Suspect);
    assert_eq!(report(&mut table), [crashed(1)]);
    table.adopt(version(3, 0), Suspects::default(), WALL_MS + 4_000);
    assert_eq!(table.state(&ID), State::Unknown, "a leader has had the time to pass it on");
}

#[test]
fn a_request_that_the_same_leader_cleared_stays_cleared() {
    let mut table = Table::default();
    table.adopt(version(1, 1), list(&[crashed(1), crashed(2)]), WALL_MS);
    table.adopt(version(1, 2), Suspects::default(), WALL_MS);
    assert_eq!(table.state(&ID), State::Unknown);
    assert!(report(&mut table).is_empty());
}

#[test]
fn reports_are_bounded() {
    let mut table = Table::default();
    for target in 0..10_000 {
        table.apply(&crashed(target), WALL_MS);
    }
    assert_eq!(report(&mut table).len(), 256);
}

fn target(name: &str) -> Target {
    Target {
        id: name.parse().unwrap(),
        born_ms: 1,
        sequence: 1,
        service: "service".parse().unwrap(),
        address: "10.0.0.1:80".to_owned(),
        zone: "zone".parse().unwrap(),
        slots: 4,
        phase: Phase::Ready,
        cold_ms: 0,
        build: Default::default(),
        rate: None,
        is_spot: false,
        models: BTreeMap::new(),
    }
}

#[test_case("target-1", 1_010, 1_200, true; "sent after the break")]
#[test_case("target-1", 990, 1_200, false; "sent before the break")]
#[test_case("target-1", 1_010, 1_500, false; "so late that a new start may have answered")]
#[test_case("target-2", 1_010, 1_200, false; "of another target")]
fn an_answer_shows_whether_the_target_is_still_running(
    name: &str,
    sent_ms: u64,
    now_ms: u64,
    is_running: bool,
) {
    let mut table = Table::default();
    table.record_break(&target("target-1"), Instant::from_millis(1_000));
    let (sent_at, now) = (Instant::from_millis(sent_ms), Instant::from_millis(now_ms));
    let survivor = table.take_survivor(&name.parse().unwrap(), sent_at, now);
    assert_eq!(survivor.is_some(), is_running);
}
