//! Which jobs a leader accepts beside those that it keeps.

use catkinlatch_store::backlog::Backlog;

const MB: usize = 1_000_000;

/// Guards against jobs that together exceed the memory of a leader, also while none of them is part
/// of its state yet.
#[test]
fn jobs_are_refused_beyond_a_quarter_of_the_memory() {
    let backlog = Backlog::new(Some(200));
    let first = backlog.admit(30 * MB, 15 * MB).expect("45 of 50 MB");
    assert!(backlog.admit(30 * MB, 10 * MB).is_none(), "beside the first");
    assert!(backlog.admit(30 * MB, 5 * MB).is_some());
    drop(first);
    assert!(backlog.admit(30 * MB, 10 * MB).is_some(), "the first was not kept");
}

/// Guards against a single job that is refused in calm.
#[test]
fn a_single_job_of_any_size_is_admitted() {
    let backlog = Backlog::new(Some(60));
    assert!(backlog.admit(0, 32 * MB).is_some());
    assert!(backlog.admit(1, 32 * MB).is_none());
}
