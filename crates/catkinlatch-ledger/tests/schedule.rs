//! Which item runs next, and where.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod common;

use catkinlatch_base::{TargetId, Version};
use catkinlatch_ledger::{
    Job, Record, Schedule,
    job::{Advance, Progress},
    schedule::{Assignment, End, Engine, Loss, Next},
};
use common::{job, job_id};
use std::{collections::BTreeMap, sync::Arc};
use test_case::test_case;

fn engine(name: &str, slots: u32, version: u64) -> Engine {
    let model = "model".parse().unwrap();
    Engine {
        id: name.parse().unwrap(),
        service: "drafts".parse().unwrap(),
        slots,
        slowness: 1.0,
        models: BTreeMap::from([(model, Version::new(version))]),
    }
}

fn schedule(jobs: &[Arc<Job>]) -> Schedule {
    let mut schedule = Schedule::default();
    jobs.iter().for_each(|job| schedule.add(&Record::new(job.clone())));
    schedule
}

fn all(schedule: &mut Schedule, engines: &[Engine]) -> Vec<Assignment> {
    std::iter::from_fn(|| schedule.next(1_000, engines)).collect()
}

#[test]
fn no_engine_gets_more_items_than_it_has_slots() {
    let mut schedule = schedule(&[job("job", 10)]);
    let engines = [engine("a", 2, 1), engine("b", 3, 1)];
    let assigned = all(&mut schedule, &engines);
    let count = |name: &str| {
        let id: TargetId = name.parse().unwrap();
        assigned.iter().filter(|assignment| assignment.engine == id).count()
    };
    assert_eq!((count("a"), count("b")), (2, 3));
    assert_eq!(schedule.counts(), (5, 5));
}

#[test]
fn weights_that_are_too_old_run_nothing() {
    let strict = Job { min_version: Some(Version::new(3)), ..(*job("job", 1)).clone() };
    let mut schedule = schedule(&[Arc::new(strict)]);
    assert!(all(&mut schedule, &[engine("old", 8, 2)]).is_empty());
    let assigned = all(&mut schedule, &[engine("old", 8, 2), engine("new", 8, 3)]);
    assert_eq!(assigned[0].engine.as_str(), "new");
}

#[test]
fn what_is_due_first_and_still_in_time_goes_first() {
    let late = Job { due_ms: 500, ..(*job("late", 1)).clone() };
    let next = Job { due_ms: 9_000, ..(*job("next", 1)).clone() };
    let soon = Job { due_ms: 5_000, ..(*job("soon", 1)).clone() };
    let mut schedule = schedule(&[Arc::new(late), Arc::new(next), Arc::new(soon)]);
    let order = all(&mut schedule, &[engine("a", 8, 1)]);
    let order: Vec<&str> = order.iter().map(|assignment| assignment.job.as_str()).collect();
    assert_eq!(order, ["soon", "next", "late"]);
}

#[test]
fn the_longest_item_of_a_job_goes_first() {
    let mut mixed = (*job("job", 3)).clone();
    mixed.items[1].expected_tokens = 900;
    let mut schedule = schedule(&[Arc::new(mixed)]);
    assert_eq!(schedule.next(0, &[engine("a", 1, 1)]).unwrap().item, 1);
}

#[test]
fn groups_that_an_earlier_job_began_go_first() {
    let mut schedule = schedule(&[job("first", 2)]);
    schedule.remove(&job_id("first"));
    let mut second = (*job("second", 4)).clone();
    // The items of group 0 are carried over, and come last in the list.
    second.items.rotate_left(2);
    schedule.add(&Record::new(Arc::new(second)));
    let first = schedule.next(0, &[engine("a", 1, 1)]).unwrap();
    assert_eq!(first.item, 2);
}

#[test]
fn items_leave_an_engine_that_became_slow_if_another_has_room() {
    let mut schedule = schedule(&[job("job", 2)]);
    let slow = Engine { slowness: 3.0, ..engine("slow", 8, 1) };
    all(&mut schedule, std::slice::from_ref(&slow));
    let full = [slow.clone(), engine("fast", 0, 1)];
    assert!(schedule.stragglers(5_000, &full).is_empty());
    let one = [slow, engine("fast", 1, 1)];
    assert!(schedule.stragglers(1_100, &one).is_empty(), "the runs have only begun");
    assert_eq!(schedule.stragglers(5_000, &one).len(), 1);
}

/// An engine of some slowness.
fn paced(name: &str, slots: u32, slowness: f64) -> Engine {
    Engine { slowness, ..engine(name, slots, 1) }
}

#[test]
fn a_long_item_leaves_an_engine_that_is_somewhat_slower() {
    let mut schedule = schedule(&[job("job", 1)]);
    all(&mut schedule, &[paced("slow", 8, 1.3)]);
    let fast = [paced("slow", 8, 1.3), paced("fast", 1, 1.0)];
    assert!(schedule.stragglers(1_900, &fast).is_empty(), "it may end soon");
    assert_eq!(schedule.stragglers(2_000, &fast).len(), 1);
    let alike = [paced("slow", 8, 1.3), paced("other", 1, 1.15)];
    assert!(schedule.stragglers(5_000, &alike).is_empty(), "a move would gain little");
    let full = [paced("slow", 8, 1.3), paced("fast", 0, 1.0)];
    assert!(schedule.stragglers(5_000, &full).is_empty());
    let busy = [paced("slow", 8, 1.2), paced("idle", 1, 1.0)];
    assert!(schedule.stragglers(5_000, &busy).is_empty(), "a full engine is no slow one");
    schedule.task_mut(&job_id("job"), 0).unwrap().cut(events(20));
    schedule.next(6_000, &[paced("slow", 8, 1.3)]).unwrap();
    assert!(schedule.stragglers(9_000, &fast).is_empty(), "it was moved once");
}

#[test]
fn no_more_items_are_moved_than_faster_engines_have_room_for() {
    let mut schedule = schedule(&[job("job", 4)]);
    all(&mut schedule, &[paced("slow", 8, 3.0)]);
    let engines = [paced("slow", 8, 3.0), paced("fast", 2, 1.0), paced("other", 1, 1.3)];
    assert_eq!(schedule.stragglers(5_000, &engines).len(), 3);
}

#[test]
fn long_items_go_where_they_end_soonest_and_short_ones_where_there_is_most_room() {
    let mut long = Job::clone(&job("job", 5));
    long.items[0].expected_tokens = 900;
    long.items[1].expected_tokens = 900;
    let mut schedule = schedule(&[Arc::new(long)]);
    let engines = [paced("fast", 8, 1.0), paced("slow", 8, 1.3)];
    let assigned = all(&mut schedule, &engines);
    let on = |item: usize| {
        let assignment = assigned.iter().find(|assignment| assignment.item == item).unwrap();
        assignment.engine.as_str()
    };
    assert_eq!([on(0), on(1)], ["fast", "fast"]);
    assert!([on(2), on(3), on(4)].contains(&"slow"), "{assigned:?}");
}

#[test]
fn an_item_may_be_given_up_only_after_its_time_and_not_while_it_runs() {
    let mut schedule = schedule(&[job("job", 2)]);
    schedule.next(0, &[engine("a", 1, 1)]);
    assert!(schedule.overdue(40_000).is_empty());
    assert_eq!(schedule.overdue(40_001).len(), 1);
}

#[test]
fn an_item_that_left_its_engine_comes_back_if_no_other_serves_it() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("only", 8, 1)];
    schedule.next(1_000, &engines).unwrap();
    let task = schedule.task_mut(&job_id("job"), 0).unwrap();
    let left = task.engine.clone().unwrap();
    task.put_back(task.progress.clone());
    task.left_engines.insert(left);
    assert!(schedule.next(2_999, &engines).is_none(), "another engine is better for a while");
    assert!(schedule.next(3_000, &engines).is_some());
}

#[test]
fn a_new_leader_goes_on_from_the_recorded_progress() {
    let mut record = Record::new(job("job", 2));
    let advance = Advance { job: job_id("job"), item: 1, after: 0, progress: events(10) };
    assert!(record.advance(&advance));
    let mut schedule = Schedule::default();
    schedule.add(&record);
    assert_eq!(schedule.task(&job_id("job"), 0).unwrap().progress, Progress::default());
    let task = schedule.task_mut(&job_id("job"), 1).unwrap();
    assert_eq!(task.progress, events(10));
    let more = task.advance(&events(20), 1_000).unwrap();
    assert_eq!((more.after, more.progress.text.len()), (10, 10), "what is recorded stays so");
}

/// Events 1 to `last` of one version.
fn events(last: u64) -> Progress {
    let mut progress = Progress::default();
    (1..=last).for_each(|id| progress.push(id, format!("e{id}"), Some(Version::new(1))));
    progress
}

#[test]
fn only_long_items_are_recorded_and_only_what_is_new() {
    let mut schedule = schedule(&[job("job", 1)]);
    all(&mut schedule, &[engine("a", 1, 1)]);
    let task = schedule.task_mut(&job_id("job"), 0).unwrap();
    let (began, second) = (task.began_ms, 1_000);
    assert_eq!(task.advance(&events(40), began + second / 2), None, "it may end soon");
    let first = task.advance(&events(40), began + second).unwrap();
    assert_eq!((first.after, first.progress), (0, events(40)));
    assert_eq!(task.advance(&events(42), began + second), None, "too little is new");
    let more = task.advance(&events(60), began + second).unwrap();
    assert_eq!((more.after, more.progress.text.len()), (40, 20));
}

#[test]
fn a_run_that_begins_anew_is_recorded_from_its_first_event() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("a", 1, 1)];
    let first = all(&mut schedule, &engines).pop().unwrap();
    let (id, second) = (job_id("job"), 3_000);
    assert!(schedule.task_mut(&id, 0).unwrap().advance(&events(40), second).is_some());
    assert_eq!(schedule.end(&id, 0, first.run, End::Failed, events(40), second), Next::Again);
    schedule.next(2 * second, &engines).unwrap();
    let again = schedule.task_mut(&id, 0).unwrap().advance(&events(10), 3 * second).unwrap();
    assert_eq!((again.after, again.progress), (0, events(10)));
}

#[test]
fn the_end_of_a_run_that_was_cut_counts_for_nothing() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("a", 1, 1), engine("b", 1, 1)];
    let first = schedule.next(1_000, &engines).unwrap();
    let id = job_id("job");
    assert_eq!(schedule.task_mut(&id, 0).unwrap().cut(events(3)), Some(first.engine.clone()));
    let second = schedule.next(1_010, &engines).unwrap();
    assert_ne!(second.engine, first.engine);
    assert_eq!(schedule.end(&id, 0, first.run, End::Whole, events(9), 1_020), Next::Nothing);
    assert!(schedule.complete(&id, 0, None).is_none(), "nothing is whole yet");
    let task = schedule.task(&id, 0).unwrap();
    assert_eq!((&task.progress, task.run), (&events(3), Some(second.run)));
}

#[test_case(End::Broken, 3; "goes on where it broke off")]
#[test_case(End::Refused, 3; "goes on after a refusal")]
#[test_case(End::Unreachable, 3; "goes on where there is a connection")]
#[test_case(End::Failed, 0; "begins anew after a failure")]
fn what_was_generated_is_kept_unless_the_engine_failed(end: End, kept: u64) {
    let mut schedule = schedule(&[job("job", 1)]);
    let run = schedule.next(1_000, &[engine("a", 1, 1)]).unwrap().run;
    assert_eq!(schedule.end(&job_id("job"), 0, run, end, events(3), 1_000), Next::Again);
    assert_eq!(schedule.task(&job_id("job"), 0).unwrap().progress, events(kept));
}

#[test]
fn an_item_is_given_up_after_as_many_failures_as_its_job_allows() {
    let mut schedule = schedule(&[job("job", 1)]);
    let (id, engines) = (job_id("job"), [engine("a", 1, 1)]);
    for (failure, next) in [Next::Again, Next::Again, Next::Lose(Loss::Failures)].iter().enumerate()
    {
        let wall_ms = 1_000 * (failure as u64 + 1);
        let run = schedule.next(wall_ms, &engines).unwrap().run;
        assert_eq!(schedule.end(&id, 0, run, End::Failed, events(3), wall_ms), *next);
    }
    assert!(schedule.lose(&id, 0).is_some());
    assert!(schedule.lose(&id, 0).is_none(), "it is given up once");
}

#[test]
fn a_job_that_was_dropped_before_its_end_was_seen_is_over() {
    let mut schedule = Schedule::default();
    let record = Record::new(job("job", 2));
    let jobs = BTreeMap::from([(job_id("job"), record)]);
    assert!(schedule.follow(&jobs).is_empty());
    assert_eq!(schedule.follow(&BTreeMap::new()), [job_id("job")]);
    schedule.remove(&job_id("job"));
    assert!(all(&mut schedule, &[engine("a", 4, 1)]).is_empty());
    assert!(schedule.follow(&BTreeMap::new()).is_empty());
}
