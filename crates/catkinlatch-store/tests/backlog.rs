//! Which jobs a leader accepts beside those that it keeps, and which replies it sends at once.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_ledger::{Item, Job, Outcome, Record, job::End};
use catkinlatch_store::backlog::{Budget, Kept};
use std::sync::Arc;
use test_case::test_case;

const MB: usize = 1_000_000;

/// Returns a job with items of 10 kB that are each expected to generate 100 tokens.
fn job(name: &str, items: usize) -> Arc<Job> {
    let item = |number: usize| Item {
        id: format!("{name}-{number}").parse().unwrap(),
        path: "/drafts/1".to_owned(),
        headers: Vec::new(),
        body: vec![0; 10_000].into(),
        group: None,
        expected_tokens: 100,
        most_tokens: 500,
        scorer: None,
    };
    Arc::new(Job {
        id: name.parse().unwrap(),
        team: None,
        host: "drafts.example".to_owned(),
        service: "drafts".parse().unwrap(),
        priority: 1,
        step: None,
        model: None,
        min_version: None,
        wanted_groups: None,
        is_single_version: false,
        max_attempts: 3,
        submitted_ms: 0,
        due_ms: 7_500,
        give_up_ms: Some(40_000),
        items: (0..items).map(item).collect(),
    })
}

/// Returns the record of a job of which the first items have texts of this length.
fn record(name: &str, items: usize, finished: usize, text: usize) -> Record {
    let mut record = Record::new(job(name, items));
    for item in 0..finished as u32 {
        let end = End::Completed { text: "x".repeat(text), versions: Vec::new(), score: None };
        record.finish(&Arc::new(Outcome { item, end }));
    }
    record
}

/// Guards against jobs that together exceed the memory of a leader, also while none of them is part
/// of its state yet.
#[test]
fn jobs_are_refused_beyond_the_share_of_the_memory() {
    let backlog = Budget::for_jobs(Some(200));
    let first = backlog.admit(30 * MB, 15 * MB).expect("142.5 of 160 MB");
    assert!(backlog.admit(30 * MB, 10 * MB).is_none(), "beside the first");
    assert!(backlog.admit(30 * MB, 3 * MB).is_some());
    drop(first);
    assert!(backlog.admit(30 * MB, 10 * MB).is_some(), "the first was not kept");
    assert!(backlog.admit(72 * MB, MB).is_none(), "kept jobs have copies as well");
}

/// Guards against a single job that is refused in calm.
#[test]
fn a_single_job_of_any_size_is_admitted() {
    let backlog = Budget::for_jobs(Some(60));
    assert!(backlog.admit(0, 32 * MB).is_some());
    assert!(backlog.admit(1, 32 * MB).is_none());
}

/// Guards against results that fill the memory, since only items count.
#[test_case(10, 0, 0 => (true, true); "nothing has a result yet")]
#[test_case(10, 10, 50_000 => (true, true); "results")]
#[test_case(10, 2, 50_000 => (true, true); "results, and as many expected of the other items")]
fn kept_jobs_count_with_their_results(items: usize, finished: usize, text: usize) -> (bool, bool) {
    let records = [record("first", items, finished, text), record("second", items, 0, 0)];
    let kept = Kept::new(records.iter());
    let results = if finished > 0 { 2 * items * text } else { 0 };
    let least = 2 * items * 10_000 + results;
    let next = kept.expected_bytes(&job("next", items));
    let is_right = |bytes: usize, least: usize| (least..least + least / 5).contains(&bytes);
    (is_right(kept.bytes, least), is_right(next, least / 2))
}

/// Guards against jobs that are refused since texts of which nothing was expected count for others.
#[test]
fn texts_of_which_nothing_was_expected_say_nothing_of_others() {
    let mut job = (*job("first", 1)).clone();
    job.items[0].expected_tokens = 0;
    let mut record = Record::new(Arc::new(job));
    let end = End::Completed { text: "x".repeat(1_000), versions: Vec::new(), score: None };
    record.finish(&Arc::new(Outcome { item: 0, end }));
    let next = crate::job("next", 10);
    assert_eq!(Kept::new([record].iter()).expected_bytes(&next), next.bytes());
}

/// Guards against readers whose replies together exceed the memory of a leader.
#[test]
fn replies_are_refused_beyond_their_share_of_the_memory() {
    let replies = Budget::for_replies(Some(270));
    let sent: Vec<_> = (0..24).filter_map(|_| replies.admit(0, 6 * MB)).collect();
    assert_eq!(sent.len(), 2, "24 of 27 MB, with a copy of each");
    drop(sent);
    assert!(replies.admit(0, 60 * MB).is_some(), "a single one of any size");
}
