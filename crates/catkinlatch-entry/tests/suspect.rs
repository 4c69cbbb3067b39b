//! Tests of an entry host's copy of the requests that may crash targets.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::Term;
use catkinlatch_entry::suspect::{State, Table};
use catkinlatch_runtime::message::ViewVersion;
use catkinlatch_state::suspect::{Change, Fingerprint, Suspects};
use std::iter;

const WALL_MS: u64 = 1_000;

const ID: Fingerprint = Fingerprint::new([1; 16]);

fn crashed(target: usize) -> Change {
    let boot = format!("target-{target}@1").parse().unwrap();
    Change::Crashed { fingerprints: vec![ID], boot, at_ms: WALL_MS }
}

fn version(term: u64, revision: u64) -> ViewVersion {
    ViewVersion { term: Term::new(term), revision }
}

fn list(changes: &[Change]) -> Suspects {
    let mut suspects = Suspects::default();
    changes.iter().for_each(|change| {
        suspects.apply(change);
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
    table.adopt(version(1, 1), Suspects::default());
    assert_eq!(table.state(&ID), State::Refused, "the leader's list lacks what is not reported");
    assert_eq!(report(&mut table), [crashed(1), crashed(2)]);
}

#[test]
fn a_leader_that_lost_the_list_gets_it_again() {
    let mut table = Table::default();
    table.adopt(version(1, 1), list(&[crashed(1), crashed(2)]));
    table.adopt(version(2, 0), Suspects::default());
    assert_eq!(table.state(&ID), State::Refused);
    assert_eq!(report(&mut table).len(), 2);
}

#[test]
fn a_request_that_the_same_leader_cleared_stays_cleared() {
    let mut table = Table::default();
    table.adopt(version(1, 1), list(&[crashed(1), crashed(2)]));
    table.adopt(version(1, 2), Suspects::default());
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
