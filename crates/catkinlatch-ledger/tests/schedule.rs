//! Tests of the order in which items run, and of the engines that they run on.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod common;

use catkinlatch_base::{BuildId, TargetId, Version};
use catkinlatch_ledger::{
    Job, Record, Schedule,
    build::Seen,
    job::{Advance, Progress},
    schedule::{Assignment, End, Engine, Loss, Next, Task},
};
use common::{job, job_id};
use std::{collections::BTreeMap, iter, slice, sync::Arc};
use test_case::test_case;

fn engine(name: &str, slots: u32, version: u64) -> Engine {
    let model = "model".parse().unwrap();
    Engine {
        id: name.parse().unwrap(),
        service: "drafts".parse().unwrap(),
        build: Default::default(),
        slots,
        slowness: 1.0,
        is_limited: false,
        models: BTreeMap::from([(model, Version::new(version))]),
    }
}

fn schedule(jobs: &[Arc<Job>]) -> Schedule {
    let mut schedule = Schedule::default();
    jobs.iter().for_each(|job| schedule.add(&Record::new(job.clone())));
    schedule
}

fn assign_all(schedule: &mut Schedule, engines: &[Engine]) -> Vec<Assignment> {
    std::iter::from_fn(|| schedule.next(1_000, engines)).collect()
}

#[test]
fn engines_get_no_more_items_than_slots() {
    let mut schedule = schedule(&[job("job", 10)]);
    let engines = [engine("a", 2, 1), engine("b", 3, 1)];
    let assigned = assign_all(&mut schedule, &engines);
    let count = |name: &str| {
        let id: TargetId = name.parse().unwrap();
        assigned.iter().filter(|assignment| assignment.engine == id).count()
    };
    assert_eq!((count("a"), count("b")), (2, 3));
    assert_eq!(schedule.counts(), (5, 5));
}

/// Guards against a text that is taken for whole at the first end that only its connection shows.
#[test]
fn an_end_with_the_connection_is_confirmed_by_a_second_one_after_the_same_event() {
    let mut task = Task::new(job("job", 1), 0, false);
    assert_eq!(task.confirm(End::Unconfirmed, 5), End::Unconfirmed);
    assert_eq!(task.confirm(End::Broken, 5), End::Broken);
    assert_eq!(task.confirm(End::Unconfirmed, 9), End::Unconfirmed, "more has come since");
    assert_eq!(task.confirm(End::Unconfirmed, 9), End::Whole);
    assert_eq!(task.confirm(End::Whole, 9), End::Whole);
}

#[test]
fn engines_with_outdated_weights_get_no_items() {
    let strict = Job { min_version: Some(Version::new(3)), ..(*job("job", 1)).clone() };
    let mut schedule = schedule(&[Arc::new(strict)]);
    assert!(assign_all(&mut schedule, &[engine("old", 8, 2)]).is_empty());
    let assigned = assign_all(&mut schedule, &[engine("old", 8, 2), engine("new", 8, 3)]);
    assert_eq!(assigned[0].engine.as_str(), "new");
}

#[test]
fn jobs_run_by_due_time_and_overdue_jobs_last() {
    let late = Job { due_ms: 500, ..(*job("late", 1)).clone() };
    let next = Job { due_ms: 9_000, ..(*job("next", 1)).clone() };
    let soon = Job { due_ms: 5_000, ..(*job("soon", 1)).clone() };
    let mut schedule = schedule(&[Arc::new(late), Arc::new(next), Arc::new(soon)]);
    let order = assign_all(&mut schedule, &[engine("a", 8, 1)]);
    let order: Vec<&str> = order.iter().map(|assignment| assignment.job.as_str()).collect();
    assert_eq!(order, ["soon", "next", "late"]);
}

#[test]
fn longest_item_of_a_job_runs_first() {
    let mut mixed = (*job("job", 3)).clone();
    mixed.items[1].expected_tokens = 900;
    let mut schedule = schedule(&[Arc::new(mixed)]);
    assert_eq!(schedule.next(0, &[engine("a", 1, 1)]).unwrap().item, 1);
}

#[test]
fn carried_over_groups_run_first() {
    let mut schedule = schedule(&[job("first", 2)]);
    schedule.remove(&job_id("first"));
    let mut second = (*job("second", 4)).clone();
    // The items of group 0 are carried over, and are last in the list.
    second.items.rotate_left(2);
    schedule.add(&Record::new(Arc::new(second)));
    let first = schedule.next(0, &[engine("a", 1, 1)]).unwrap();
    assert_eq!(first.item, 2);
}

#[test]
fn items_leave_slow_engine_if_another_has_a_free_slot() {
    let mut schedule = schedule(&[job("job", 2)]);
    let slow = Engine { slowness: 3.0, ..engine("slow", 8, 1) };
    assign_all(&mut schedule, std::slice::from_ref(&slow));
    let full = [slow.clone(), engine("fast", 0, 1)];
    assert!(schedule.stragglers(5_000, &full).is_empty());
    let one = [slow, engine("fast", 1, 1)];
    assert!(schedule.stragglers(1_100, &one).is_empty(), "the runs have only just started");
    assert_eq!(schedule.stragglers(5_000, &one).len(), 1);
}

/// Guards against items on a cold engine while another one has a free slot, even a slow one.
#[test]
fn a_cold_engine_gets_items_only_if_no_other_has_a_free_slot() {
    let mut schedule = schedule(&[job("job", 3)]);
    let cold = Engine { is_limited: true, ..engine("cold", 8, 1) };
    let slow = Engine { slowness: 9.0, ..engine("slow", 2, 1) };
    let engines: Vec<String> = schedule
        .assign(0, &[cold, slow], usize::MAX)
        .iter()
        .map(|assignment| assignment.engine.to_string())
        .collect();
    assert_eq!(engines, ["slow", "slow", "cold"]);
}

/// Returns an engine with the given slowness.
fn engine_with_slowness(name: &str, slots: u32, slowness: f64) -> Engine {
    Engine { slowness, ..engine(name, slots, 1) }
}

#[test]
fn long_item_leaves_moderately_slower_engine_once() {
    let mut schedule = schedule(&[job("job", 1)]);
    assign_all(&mut schedule, &[engine_with_slowness("slow", 8, 1.3)]);
    let fast = [engine_with_slowness("slow", 8, 1.3), engine_with_slowness("fast", 1, 1.0)];
    assert!(schedule.stragglers(1_900, &fast).is_empty(), "the item may end soon");
    assert_eq!(schedule.stragglers(2_000, &fast).len(), 1);
    let alike = [engine_with_slowness("slow", 8, 1.3), engine_with_slowness("other", 1, 1.15)];
    assert!(schedule.stragglers(5_000, &alike).is_empty(), "a move would gain little");
    let full = [engine_with_slowness("slow", 8, 1.3), engine_with_slowness("fast", 0, 1.0)];
    assert!(schedule.stragglers(5_000, &full).is_empty());
    let busy = [engine_with_slowness("slow", 8, 1.2), engine_with_slowness("idle", 1, 1.0)];
    assert!(schedule.stragglers(5_000, &busy).is_empty(), "a full engine does not count as slow");
    schedule.task_mut(&job_id("job"), 0).unwrap().preempt(events(20));
    schedule.next(6_000, &[engine_with_slowness("slow", 8, 1.3)]).unwrap();
    assert!(schedule.stragglers(9_000, &fast).is_empty(), "the item was moved before");
}

#[test]
fn moves_are_limited_by_free_slots_of_faster_engines() {
    let mut schedule = schedule(&[job("job", 4)]);
    assign_all(&mut schedule, &[engine_with_slowness("slow", 8, 3.0)]);
    let engines = [
        engine_with_slowness("slow", 8, 3.0),
        engine_with_slowness("fast", 2, 1.0),
        engine_with_slowness("other", 1, 1.3),
    ];
    assert_eq!(schedule.stragglers(5_000, &engines).len(), 3);
}

#[test]
fn long_items_go_to_fastest_engine_and_short_items_to_least_loaded() {
    let mut long = Job::clone(&job("job", 5));
    long.items[0].expected_tokens = 900;
    long.items[1].expected_tokens = 900;
    let mut schedule = schedule(&[Arc::new(long)]);
    let engines = [engine_with_slowness("fast", 8, 1.0), engine_with_slowness("slow", 8, 1.3)];
    let assigned = assign_all(&mut schedule, &engines);
    let on = |item: usize| {
        let assignment = assigned.iter().find(|assignment| assignment.item == item).unwrap();
        assignment.engine.as_str()
    };
    assert_eq!([on(0), on(1)], ["fast", "fast"]);
    assert!([on(2), on(3), on(4)].contains(&"slow"), "{assigned:?}");
}

#[test]
fn only_waiting_items_past_the_time_limit_are_overdue() {
    let mut schedule = schedule(&[job("job", 2)]);
    schedule.next(0, &[engine("a", 1, 1)]);
    assert!(schedule.overdue(40_000).is_empty());
    assert_eq!(schedule.overdue(40_001).len(), 1);
}

#[test]
fn item_returns_to_the_engine_it_left_if_no_other_exists() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("only", 8, 1)];
    schedule.next(1_000, &engines).unwrap();
    let task = schedule.task_mut(&job_id("job"), 0).unwrap();
    let left = task.engine.clone().unwrap();
    task.requeue(task.progress.clone());
    task.left_engines.insert(left);
    assert!(schedule.next(2_999, &engines).is_none(), "the engine is avoided at first");
    assert!(schedule.next(3_000, &engines).is_some());
}

#[test]
fn new_leader_resumes_from_recorded_progress() {
    let mut record = Record::new(job("job", 2));
    let advance = Advance { job: job_id("job"), item: 1, after: 0, progress: events(10) };
    assert!(record.advance(&advance));
    let mut schedule = Schedule::default();
    schedule.add(&record);
    assert_eq!(schedule.task(&job_id("job"), 0).unwrap().progress, Progress::default());
    let task = schedule.task_mut(&job_id("job"), 1).unwrap();
    assert_eq!(task.progress, events(10));
    let more = task.take_unrecorded(&events(20), 1_000).unwrap();
    assert_eq!(
        (more.after, more.progress.text.len()),
        (10, 10),
        "recorded events are not repeated"
    );
}

/// Returns progress with the events 1 to `last`, generated by a single version.
fn events(last: u64) -> Progress {
    let mut progress = Progress::default();
    (1..=last).for_each(|id| progress.push(id, format!("e{id}"), Some(Version::new(1))));
    progress
}

#[test]
fn only_new_progress_of_long_items_is_recorded() {
    let mut schedule = schedule(&[job("job", 1)]);
    assign_all(&mut schedule, &[engine("a", 1, 1)]);
    let task = schedule.task_mut(&job_id("job"), 0).unwrap();
    let (began, second) = (task.began_ms, 1_000);
    assert_eq!(
        task.take_unrecorded(&events(40), began + second / 2),
        None,
        "the item may end soon"
    );
    let first = task.take_unrecorded(&events(40), began + second).unwrap();
    assert_eq!((first.after, first.progress), (0, events(40)));
    assert_eq!(task.take_unrecorded(&events(42), began + second), None, "too few new events");
    let more = task.take_unrecorded(&events(60), began + second).unwrap();
    assert_eq!((more.after, more.progress.text.len()), (40, 20));
}

#[test]
fn restarted_run_is_recorded_from_its_first_event() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("a", 1, 1)];
    let first = assign_all(&mut schedule, &engines).pop().unwrap();
    let (id, second) = (job_id("job"), 3_000);
    assert!(schedule.task_mut(&id, 0).unwrap().take_unrecorded(&events(40), second).is_some());
    assert_eq!(schedule.end(&id, 0, first.run, End::Failed, events(40), second), Next::Again);
    schedule.next(2 * second, &engines).unwrap();
    let again =
        schedule.task_mut(&id, 0).unwrap().take_unrecorded(&events(10), 3 * second).unwrap();
    assert_eq!((again.after, again.progress), (0, events(10)));
}

#[test]
fn end_of_a_cut_run_is_ignored() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("a", 1, 1), engine("b", 1, 1)];
    let first = schedule.next(1_000, &engines).unwrap();
    let id = job_id("job");
    assert_eq!(schedule.task_mut(&id, 0).unwrap().preempt(events(3)), Some(first.engine.clone()));
    let second = schedule.next(1_010, &engines).unwrap();
    assert_ne!(second.engine, first.engine);
    assert_eq!(schedule.end(&id, 0, first.run, End::Whole, events(9), 1_020), Next::Nothing);
    assert!(schedule.complete(&id, 0, None).is_none(), "the output is not complete");
    let task = schedule.task(&id, 0).unwrap();
    assert_eq!((&task.progress, task.run), (&events(3), Some(second.run)));
}

#[test_case(End::Broken, 3; "resumes after an interrupted stream")]
#[test_case(End::Refused, 3; "resumes after a refusal")]
#[test_case(End::Unreachable, 3; "resumes after a failed connection")]
#[test_case(End::Failed, 0; "restarts after a failure")]
fn progress_is_kept_unless_the_engine_failed(end: End, kept: u64) {
    let mut schedule = schedule(&[job("job", 1)]);
    let run = schedule.next(1_000, &[engine("a", 1, 1)]).unwrap().run;
    assert_eq!(schedule.end(&job_id("job"), 0, run, end, events(3), 1_000), Next::Again);
    assert_eq!(schedule.task(&job_id("job"), 0).unwrap().progress, events(kept));
}

#[test]
fn item_is_given_up_after_max_attempts() {
    let mut schedule = schedule(&[job("job", 1)]);
    let (id, engines) = (job_id("job"), [engine("a", 1, 1)]);
    for (failure, next) in [Next::Again, Next::Again, Next::Lose(Loss::Failures)].iter().enumerate()
    {
        let wall_ms = 1_000 * (failure as u64 + 1);
        let run = schedule.next(wall_ms, &engines).unwrap().run;
        assert_eq!(schedule.end(&id, 0, run, End::Failed, events(3), wall_ms), *next);
    }
    assert!(schedule.give_up(&id, 0).is_some());
    assert!(schedule.give_up(&id, 0).is_none(), "an item is given up only once");
}

#[test]
fn removed_job_is_reported_as_over() {
    let mut schedule = Schedule::default();
    let record = Record::new(job("job", 2));
    let jobs = BTreeMap::from([(job_id("job"), record)]);
    assert!(schedule.sync_jobs(&jobs).is_empty());
    assert_eq!(schedule.sync_jobs(&BTreeMap::new()), [job_id("job")]);
    schedule.remove(&job_id("job"));
    assert!(assign_all(&mut schedule, &[engine("a", 4, 1)]).is_empty());
    assert!(schedule.sync_jobs(&BTreeMap::new()).is_empty());
}

/// Runs the first item of a job until `runs` connections broke under it, and returns when each run
/// began, in milliseconds.
fn break_runs(schedule: &mut Schedule, engines: &[Engine], runs: usize) -> Vec<u64> {
    let mut began = Vec::new();
    for wall_ms in (1_000..40_000).step_by(50) {
        let Some(run) = schedule.next(wall_ms, engines) else { continue };
        began.push(wall_ms);
        let progress = Progress::default();
        schedule.end(&run.job, run.item, run.run, End::Broken, progress, wall_ms);
        let fingerprint = schedule.task(&run.job, run.item).unwrap().fingerprint();
        let start = format!("{}@{wall_ms}", run.engine).parse().unwrap();
        schedule.crashes.record(fingerprint, start, wall_ms);
        if began.len() == runs {
            break;
        }
    }
    began
}

/// Guards against a sound item that is never placed again, and against an item that crashes engines
/// without a pause.
#[test]
fn an_item_under_which_engines_crash_is_run_again_with_pauses_of_1_to_5_s() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("a", 8, 1), engine("b", 8, 1)];
    let began = break_runs(&mut schedule, &engines, usize::MAX);
    let pauses: Vec<u64> = began.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses[1..].iter().all(|pause| (1_000..5_000).contains(pause)), "{pauses:?}");
    assert!(pauses[3..].iter().all(|pause| *pause >= 3_000), "{pauses:?}");
    assert!(began.last().is_some_and(|last| *last > 35_000), "it is owed to the end: {began:?}");
    schedule.add(&Record::new(job("next", 1)));
    assert!(schedule.next(60_000, &engines).is_some(), "it came again in another job");
}

/// Guards against copies of an item in several jobs that crash several engines at once.
#[test]
fn an_item_under_which_engines_crashed_runs_in_one_job_at_a_time() {
    let mut schedule = schedule(&[job("job", 1), job("next", 1)]);
    let engines = [engine("a", 8, 1), engine("b", 8, 1)];
    let fingerprint = schedule.task(&job_id("job"), 0).unwrap().fingerprint();
    for start in ["a@1", "b@1"] {
        schedule.crashes.record(fingerprint, start.parse().unwrap(), 0);
    }
    let run = schedule.next(2_000, &engines).unwrap();
    assert!(schedule.next(2_000, &engines).is_none());
    schedule.end(&run.job, run.item, run.run, End::Whole, events(5), 2_500);
    assert!(schedule.crashes.clear(&fingerprint));
    assert!(schedule.next(2_500, &engines).is_some());
}

#[test]
fn an_item_whose_engines_are_still_running_is_not_held_back() {
    let mut schedule = schedule(&[job("job", 1)]);
    let engines = [engine("a", 8, 1)];
    let began = break_runs(&mut schedule, &engines, 2);
    assert!(schedule.next(began[1] + 50, &engines).is_none());
    for began_ms in began {
        schedule.crashes.retract(&format!("a@{began_ms}").parse().unwrap());
    }
    assert!(schedule.next(40_000, &engines).is_some());
}

/// Guards against a crash that could be put down to either of two items, and against items that wait
/// for engines of their own for too long.
#[test]
fn items_under_which_engines_crashed_share_an_engine_only_after_4_s() {
    let mut bodies = (*job("job", 3)).clone();
    for (number, item) in bodies.items.iter_mut().enumerate() {
        item.body = vec![number as u8].into();
    }
    let mut schedule = schedule(&[Arc::new(bodies)]);
    for item in 0..2 {
        let fingerprint = schedule.task(&job_id("job"), item).unwrap().fingerprint();
        for start in ["a@1", "b@1"] {
            schedule.crashes.record(fingerprint, start.parse().unwrap(), 0);
        }
    }
    let engines = [engine("a", 8, 1)];
    let mut assign = |wall_ms| -> Vec<usize> {
        iter::from_fn(|| schedule.next(wall_ms, &engines)).map(|run| run.item).collect()
    };
    let assigned = assign(3_999);
    assert_eq!(assigned.len(), 2, "one of the two suspects, and the other item: {assigned:?}");
    assert!(assigned.contains(&2));
    assert_eq!(assign(4_000).len(), 1);
}

/// Returns an engine of another build than the others.
fn newer_engine(name: &str, slots: u32) -> Engine {
    Engine { build: BuildId::new("newer"), ..engine(name, slots, 1) }
}

/// Guards against an item that goes on after events of another build, and against one that waits for
/// its build while another engine could begin it anew.
#[test]
fn an_item_goes_on_only_at_the_build_that_began_it() {
    let mut schedule = schedule(&[job("job", 1)]);
    let (id, first, newer) = (job_id("job"), engine("first", 1, 1), newer_engine("newer", 8));
    let run = schedule.next(0, slice::from_ref(&first)).unwrap().run;
    schedule.end(&id, 0, run, End::Broken, events(3), 0);
    let both = [newer.clone(), first];
    let assignment = schedule.next(1_000, &both).unwrap();
    assert_eq!(assignment.engine.as_str(), "first", "though the other one has more room");
    assert_eq!(schedule.task(&id, 0).unwrap().progress, events(3));
    schedule.end(&id, 0, assignment.run, End::Broken, events(5), 1_000);
    assert!(schedule.next(2_000, &[newer]).is_some());
    assert_eq!(schedule.task(&id, 0).unwrap().progress, Progress::default());
}

/// Guards against a new leader that goes on after events of which it does not know the build.
#[test]
fn a_new_leader_goes_on_only_after_events_whose_build_it_knows() {
    let mut record = Record::new(job("job", 1));
    let advance = Advance { job: job_id("job"), item: 0, after: 0, progress: events(10) };
    assert!(record.advance(&advance));
    let first = engine("first", 1, 1);
    let only = Seen::Only(first.build.clone());
    for (seen, expected) in [(only, events(10)), (Seen::Several, Progress::default())] {
        let mut schedule = Schedule::default();
        schedule.add(&record);
        schedule.resolve_builds(|_| Seen::Unsettled);
        assert!(schedule.next(0, slice::from_ref(&first)).is_none(), "it waits");
        schedule.resolve_builds(|_| seen.clone());
        assert!(schedule.next(0, slice::from_ref(&first)).is_some());
        assert_eq!(schedule.task(&job_id("job"), 0).unwrap().progress, expected);
    }
}

/// Guards against a run that is moved off a slow engine and loses its events at a faster one.
#[test]
fn a_straggler_stays_at_its_build() {
    let mut schedule = schedule(&[job("job", 1)]);
    let slow = Engine { slowness: 9.0, ..engine("slow", 1, 1) };
    assert!(schedule.next(0, slice::from_ref(&slow)).is_some());
    assert!(schedule.stragglers(5_000, &[slow.clone(), newer_engine("newer", 8)]).is_empty());
    assert_eq!(schedule.stragglers(5_000, &[slow, engine("other", 8, 1)]).len(), 1);
}
