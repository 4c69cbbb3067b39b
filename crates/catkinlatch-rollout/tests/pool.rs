//! Tests of the sample pool.

use catkinlatch_base::{Epoch, GroupNumber, Instant, SampleId, Tokens, Version};
use catkinlatch_rollout::{
    Pool,
    evidence::{Fault, Report, Span},
    pool::{Group, Outcome, Task},
};
use std::{collections::BTreeSet, time::Duration};
use test_case::test_case;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

fn span(version: u64, tokens: u64) -> Span {
    Span { version: Version::new(version), tokens: Tokens::new(tokens) }
}

fn report(spans: Vec<Span>) -> Report {
    Report {
        start: spans.first().map(|span| span.version),
        end: spans.last().map(|span| span.version),
        boot_at_start: Some(id("boot-1")),
        boot_at_end: Some(id("boot-1")),
        completion_tokens: spans.iter().map(|span| span.tokens).sum(),
        prompt_tokens: Tokens::new(3),
        spans,
    }
}

/// Returns a pool at version 5 with a bound of two versions and groups of two samples.
fn pool(groups: u64) -> Pool {
    let mut pool = Pool::new(id("defects"), Epoch::new(1)).with_batch_samples(2);
    pool.set_newest_version(Version::new(5), 2);
    for number in 0..groups {
        let prompts = vec![format!("prompt {number}"); 2];
        let group = Group { id: id(&format!("group-{number}")), prompts, max_tokens: 100 };
        assert!(pool.add(GroupNumber::new(number), group));
    }
    pool
}

fn start(pool: &mut Pool) -> Task {
    pool.next_task(Instant::ZERO).expect("a sample is waiting")
}

fn finish(pool: &mut Pool, id: &SampleId) -> Outcome {
    pool.finish(id, "text", &report(vec![span(5, 4)]))
}

#[test]
fn a_batch_holds_complete_groups_only() {
    let mut pool = pool(2);
    let tasks: Vec<Task> = (0..4).map(|_| start(&mut pool)).collect();
    finish(&mut pool, &tasks[0].sample);
    finish(&mut pool, &tasks[2].sample);
    assert_eq!(pool.batch(), None, "two samples are complete, but no group is");
    finish(&mut pool, &tasks[3].sample);
    let batch = pool.batch().expect("the second group is complete");
    assert!(batch.iter().all(|sample| sample.task.number == GroupNumber::new(1)));
}

#[test]
fn the_samples_of_the_next_batch_run_first() {
    let mut pool = pool(2).with_ahead_samples(1);
    let numbers: Vec<u64> = (0..4).map(|_| start(&mut pool).number.get()).collect();
    assert_eq!(numbers, [0, 0, 1, 1]);
}

#[test]
fn no_samples_start_beyond_the_ahead_limit() {
    let mut pool = pool(3).with_ahead_samples(2);
    let started = std::iter::from_fn(|| pool.next_task(Instant::ZERO)).count();
    assert_eq!(started, 4);
}

#[test]
fn the_longest_samples_run_first() {
    let mut pool = pool(2).with_batch_samples(4);
    let first = start(&mut pool);
    pool.finish(&first.sample, "", &report(vec![span(5, 10)]));
    let second = start(&mut pool);
    let third = start(&mut pool);
    pool.finish(&third.sample, "", &report(vec![span(5, 90)]));
    pool.fail(&second.sample);
    assert_eq!(start(&mut pool).prompt, third.prompt, "the other sample of the group was longer");
}

#[test]
fn a_late_second_answer_is_dropped() {
    let mut pool = pool(1);
    let (first, other) = (start(&mut pool), start(&mut pool));
    finish(&mut pool, &other.sample);
    let later = Instant::ZERO + Duration::from_secs(5);
    let second_run = pool.hedge(later).expect("the run has produced nothing for five seconds");
    assert_eq!((second_run.number, second_run.index), (first.number, first.index));
    assert!(pool.hedge(later).is_none(), "a sample has at most two runs");
    let kept = finish(&mut pool, &second_run.sample);
    assert_eq!(kept, Outcome::Kept { cancel: vec![first.sample.clone()] });
    assert_eq!(finish(&mut pool, &first.sample), Outcome::Unknown);
    let batch = pool.batch().expect("the group is complete");
    assert_eq!(batch.len(), 2);
}

#[test]
fn an_answer_to_an_earlier_epoch_is_dropped() {
    let mut before = pool(1);
    let task = start(&mut before);
    let mut after = Pool::new(id("defects"), Epoch::new(2));
    after.set_newest_version(Version::new(5), 2);
    after.add(task.number, Group { id: id("group-0"), prompts: vec!["a".into()], max_tokens: 9 });
    let again = start(&mut after);
    assert_ne!(again.sample, task.sample);
    assert_eq!(finish(&mut after, &task.sample), Outcome::Unknown);
}

#[test]
fn a_second_run_resumes_from_the_tokens_of_the_first() {
    let mut pool = pool(1);
    let (task, _other) = (start(&mut pool), start(&mut pool));
    assert!(pool.progress(&task.sample, "ab", span(4, 2), Instant::ZERO));
    pool.fail(&task.sample);
    let again = start(&mut pool);
    assert_eq!(again.partial.as_ref().map(|partial| partial.text.as_str()), Some("ab"));
    pool.finish(&again.sample, "cd", &report(vec![span(5, 2)]));
    let sample = pool.finished().next().expect("the sample is complete");
    assert_eq!(sample.text, "abcd");
    assert_eq!(sample.evidence.spans, [span(4, 2), span(5, 2)]);
    assert_eq!(sample.evidence.completion_tokens, Tokens::new(4));
}

#[test_case(
    Report { start: None, ..report(vec![span(5, 4)]) },
    Fault::Missing;
    "no version at the start"
)]
#[test_case(
    Report { end: None, ..report(vec![span(5, 4)]) },
    Fault::Missing;
    "no version at the end"
)]
#[test_case(report(vec![]), Fault::Missing; "no spans")]
#[test_case(
    Report { start: Some(Version::new(4)), ..report(vec![span(5, 4)]) },
    Fault::Start { start: Version::new(4) };
    "a different version at the start"
)]
#[test_case(
    Report { end: Some(Version::new(4)), ..report(vec![span(5, 4)]) },
    Fault::End { end: Version::new(4) };
    "a different version at the end"
)]
#[test_case(
    Report { completion_tokens: Tokens::new(5), ..report(vec![span(5, 4)]) },
    Fault::Count { spans: Tokens::new(4), counted: Tokens::new(5) };
    "a token without a version"
)]
#[test_case(
    report(vec![span(5, 4), span(4, 0), span(5, 1)]),
    Fault::Count { spans: Tokens::new(5), counted: Tokens::new(5) };
    "a version without a token"
)]
#[test_case(
    report(vec![span(6, 4)]),
    Fault::Unpublished { version: Version::new(6) };
    "a version that was never published"
)]
#[test_case(
    Report { boot_at_end: Some(id("boot-2")), ..report(vec![span(5, 4)]) },
    Fault::Restarted;
    "an engine that was restarted"
)]
fn a_sample_without_evidence_runs_again(report: Report, fault: Fault) {
    let mut pool = pool(1);
    let task = start(&mut pool);
    assert_eq!(pool.finish(&task.sample, "text", &report), Outcome::NoEvidence(fault));
    assert_eq!(pool.finished().count(), 0);
    let again = start(&mut pool);
    assert_eq!((again.number, again.index), (task.number, task.index));
    assert!(again.partial.is_none(), "no token of an unproven run is used");
}

#[test]
fn a_version_change_within_a_sample_is_recorded() {
    let mut pool = pool(1);
    let task = start(&mut pool);
    let outcome = pool.finish(&task.sample, "text", &report(vec![span(4, 3), span(5, 1)]));
    assert_eq!(outcome, Outcome::Kept { cancel: vec![] });
    let sample = pool.finished().next().expect("the sample is complete");
    assert_eq!(sample.evidence.oldest(), Some(Version::new(4)));
    assert_eq!(sample.evidence.newest(), Some(Version::new(5)));
}

#[test]
fn a_sample_that_became_too_old_runs_again() {
    let mut pool = pool(1);
    let (completed, in_progress) = (start(&mut pool), start(&mut pool));
    pool.finish(&completed.sample, "text", &report(vec![span(3, 4)]));
    assert!(pool.progress(&in_progress.sample, "ab", span(3, 2), Instant::ZERO));
    let cancel = pool.set_newest_version(Version::new(6), 2);
    assert_eq!(cancel, std::slice::from_ref(&in_progress.sample));
    assert_eq!(pool.finished().count(), 0);
    assert_eq!(finish(&mut pool, &in_progress.sample), Outcome::Unknown);
    assert!(start(&mut pool).partial.is_none(), "tokens that are too old are not used");
}

#[test]
fn an_answer_older_than_the_bound_is_dropped() {
    let mut pool = pool(1);
    let task = start(&mut pool);
    assert_eq!(pool.finish(&task.sample, "", &report(vec![span(2, 4)])), Outcome::TooOld);
    assert_eq!(start(&mut pool).index, task.index);
}

#[test]
fn yielded_slots_keep_the_tokens_of_their_runs() {
    let mut pool = pool(1);
    let (slow, fast) = (start(&mut pool), start(&mut pool));
    pool.progress(&slow.sample, "a", span(5, 1), Instant::ZERO);
    pool.progress(&fast.sample, "abc", span(5, 3), Instant::ZERO);
    assert_eq!(pool.yield_slots(1), std::slice::from_ref(&slow.sample));
    assert_eq!(pool.running(), 1);
    assert_eq!(start(&mut pool).partial.map(|partial| partial.tokens()), Some(1));
}

#[test]
fn a_delivered_group_leaves_the_pool() {
    let mut pool = pool(2);
    let tasks: Vec<Task> = (0..3).map(|_| start(&mut pool)).collect();
    finish(&mut pool, &tasks[0].sample);
    finish(&mut pool, &tasks[1].sample);
    let numbers: BTreeSet<GroupNumber> =
        pool.batch().expect("a group is complete").iter().map(|s| s.task.number).collect();
    assert!(pool.remove(&numbers).is_empty());
    assert_eq!(pool.batch(), None);
    assert_eq!(pool.running(), 1);
}
