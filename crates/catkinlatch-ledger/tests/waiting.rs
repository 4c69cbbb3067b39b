//! What waiting items need, and why they wait.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod common;

use catkinlatch_base::Version;
use catkinlatch_ledger::{
    Job, Record, Schedule,
    job::Progress,
    schedule::{End, Engine, Obstacle},
};
use common::{job, job_id};
use std::{collections::BTreeMap, sync::Arc};
use test_case::test_case;

fn engine(service: &str, slots: u32, version: u64) -> Engine {
    let models = BTreeMap::from([("model".parse().unwrap(), Version::new(version))]);
    Engine {
        id: format!("{service}-{slots}-{version}").parse().unwrap(),
        service: service.parse().unwrap(),
        build: Default::default(),
        slots,
        slowness: 1.0,
        is_limited: false,
        models,
    }
}

fn strict_job(min_version: u64) -> Job {
    Job { min_version: Some(Version::new(min_version)), ..(*job("job", 2)).clone() }
}

fn schedule(job: Job) -> Schedule {
    let mut schedule = Schedule::default();
    schedule.add(&Record::new(Arc::new(job)));
    schedule
}

#[test_case(&[] => Obstacle::Engine; "no engine")]
#[test_case(&[("other", 4, 3)] => Obstacle::Engine; "no engine of its service")]
#[test_case(
    &[("drafts", 4, 1), ("drafts", 4, 2)] => Obstacle::Version { required: Version::new(3), newest: Version::new(2) };
    "all engines are too old"
)]
#[test_case(&[("drafts", 0, 3), ("drafts", 4, 2)] => Obstacle::Slots; "the new engine is full")]
#[test_case(&[("drafts", 4, 3)] => Obstacle::Turn; "an engine has room")]
fn the_reason_names_what_an_item_waits_for(engines: &[(&str, u32, u64)]) -> Obstacle {
    let engines: Vec<Engine> = engines.iter().map(|(s, n, v)| engine(s, *n, *v)).collect();
    schedule(strict_job(3)).obstacle(&job_id("job"), 0, &engines, 1_000).unwrap()
}

#[test]
fn an_item_that_failed_waits_for_its_pause_and_one_that_runs_for_nothing() {
    let mut schedule = schedule(strict_job(1));
    let engines = [engine("drafts", 1, 1)];
    let run = schedule.next(1_000, &engines).unwrap();
    assert_eq!(schedule.obstacle(&run.job, run.item, &engines, 1_000), None);
    let other = 1 - run.item;
    assert_eq!(schedule.obstacle(&run.job, other, &engines, 1_000), Some(Obstacle::Slots));
    schedule.end(&run.job, run.item, run.run, End::Failed, Progress::default(), 1_000);
    let obstacle = schedule.obstacle(&run.job, run.item, &engines, 1_000);
    assert_eq!(obstacle, Some(Obstacle::Failure));
}

#[test]
fn waiting_items_are_counted_by_what_they_need() {
    let mut schedule = schedule(strict_job(3));
    let any = Job { id: job_id("any"), ..(*job("any", 3)).clone() };
    schedule.add(&Record::new(Arc::new(any)));
    let counted: Vec<(u64, usize)> = schedule
        .waiting(1_000)
        .into_iter()
        .map(|(requirement, items)| (requirement.min_version.get(), items))
        .collect();
    assert_eq!(counted, [(0, 3), (3, 2)]);
}
