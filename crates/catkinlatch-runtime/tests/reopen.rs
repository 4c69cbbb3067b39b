//! Opening the storage of the log again after it failed.

use bytes::Bytes;
use catkinlatch_base::Term;
use catkinlatch_ledger::Command;
use catkinlatch_log::{
    HardState, Index, Membership, Snapshot, Write,
    storage::{Completion, Trust, Writer},
};
use catkinlatch_runtime::replica;
use std::{fs, io, sync::mpsc};
use test_case::test_case;

fn write_of_term(number: u64, term: u64) -> Write<Command> {
    let hard_state = HardState { term: Term::new(term), vote: None };
    Write { hard_state: Some(hard_state), ..Write::new(number) }
}

#[test]
fn what_was_synced_before_a_full_disk_is_kept_under_the_same_identity() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = replica::open(folder.path()).unwrap();
    opened.disk.write(&write_of_term(1, 3)).unwrap();
    opened.disk.sync().unwrap();
    drop(opened.disk);
    let again = replica::reopen(folder.path(), Trust::Synced).unwrap();
    assert_eq!(again.identity, opened.identity);
    assert_eq!(again.restored.hard_state.term, Term::new(3));
}

#[test]
fn after_a_failed_sync_the_host_joins_under_a_new_identity_with_an_empty_log() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = replica::open(folder.path()).unwrap();
    opened.disk.write(&write_of_term(1, 3)).unwrap();
    opened.disk.sync().unwrap();
    drop(opened.disk);
    let again = replica::reopen(folder.path(), Trust::Nothing).unwrap();
    assert_ne!(again.identity, opened.identity);
    assert!(again.restored.is_empty());
    drop(again.disk);
    let restarted = replica::open(folder.path()).unwrap();
    assert_eq!(restarted.identity, again.identity, "a restart keeps the new identity");
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1, "nothing else takes up space");
}

#[test]
fn a_disk_that_still_fails_is_not_opened() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    fs::write(&file, "").unwrap();
    for trust in [Trust::Synced, Trust::Nothing] {
        assert!(replica::reopen(&file, trust).is_err());
    }
}

#[test_case(io::ErrorKind::StorageFull, false, Trust::Synced; "a write that does not fit")]
#[test_case(io::ErrorKind::StorageFull, true, Trust::Nothing; "a sync that does not fit")]
#[test_case(io::ErrorKind::Other, false, Trust::Nothing; "a write error")]
#[test_case(io::ErrorKind::Other, true, Trust::Nothing; "a sync error")]
fn only_a_write_that_does_not_fit_leaves_the_log_trusted(
    kind: io::ErrorKind,
    is_sync: bool,
    trust: Trust,
) {
    assert_eq!(Trust::after(&io::Error::from(kind), is_sync), trust);
}

#[test]
fn the_storage_is_closed_before_a_failure_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let opened = replica::open(folder.path()).unwrap();
    let (sender, completions) = mpsc::channel();
    let writer = Writer::start(opened.disk, move |completion| sender.send(completion).is_ok());
    // The snapshot's temporary file cannot be created over a folder.
    fs::create_dir(folder.path().join("log/snapshot.new")).unwrap();
    let (index, term) = (Index::new(1), Term::new(1));
    let (membership, data) = (Membership::EMPTY, Bytes::new());
    let snapshot = Snapshot { index, term, membership, data };
    writer.write(Write { snapshot: Some(snapshot.into()), ..write_of_term(1, 3) });
    assert_eq!(completions.recv().unwrap(), Completion::Failed(Trust::Nothing));
    fs::remove_dir(folder.path().join("log/snapshot.new")).unwrap();
    let again = replica::reopen(folder.path(), Trust::Nothing).unwrap();
    assert_ne!(again.identity, opened.identity);
    writer.write(write_of_term(2, 4));
    assert!(completions.recv().is_err(), "the storage thread has ended");
}
