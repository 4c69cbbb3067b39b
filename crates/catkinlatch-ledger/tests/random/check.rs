//! The invariants of the simulation, checked on the state of hosts.

use super::model;
use catkinlatch_base::{JobId, Version};
use catkinlatch_ledger::{
    Item, Job, Outcome, Record, State,
    job::{End, Progress},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Compares the states of hosts with what was observed before.
#[derive(Default)]
pub struct Checker {
    /// The results of each job by position, as first observed.
    results: BTreeMap<JobId, Vec<Arc<Outcome>>>,
    /// The jobs that were acknowledged to clients and not removed since.
    pub acknowledged: BTreeMap<JobId, Arc<Job>>,
}

impl Checker {
    /// Returns the number of observed results.
    pub fn listed(&self) -> u64 {
        self.results.values().map(|results| results.len() as u64).sum()
    }

    /// Checks the state of a host. `has_all` is whether it has applied all acknowledged commands.
    pub fn check(&mut self, state: &State, has_all: bool) {
        for (id, record) in &state.jobs {
            self.check_record(id, record);
        }
        if has_all {
            for (id, job) in &self.acknowledged {
                let record = state.jobs.get(id).unwrap_or_else(|| panic!("job {id} is lost"));
                assert_eq!(record.job, *job, "job {id} was replaced");
            }
        }
    }

    fn check_record(&mut self, id: &JobId, record: &Record) {
        let seen = self.results.entry(id.clone()).or_default();
        for (position, outcome) in record.results.iter().enumerate() {
            match seen.get(position) {
                Some(first) => assert_eq!(first, outcome, "result {position} of job {id} changed"),
                None => {
                    check_outcome(&record.job, outcome);
                    seen.push(outcome.clone());
                }
            }
        }
        let items: BTreeSet<u32> = record.results.iter().map(|outcome| outcome.item).collect();
        assert_eq!(items.len(), record.results.len(), "job {id} has two results of one item");
        for (position, item) in record.job.items.iter().enumerate() {
            if let Some(progress) = record.progress(position) {
                assert!(
                    !record.is_done() && !record.is_finished(position),
                    "job {id} keeps progress"
                );
                check_prefix(item, progress);
            }
        }
    }
}

/// Checks that a result is the complete output of its item, with the versions that generated it.
fn check_outcome(job: &Job, outcome: &Outcome) {
    let item = &job.items[outcome.item as usize];
    let End::Completed { text, versions, .. } = &outcome.end else { return };
    let used = check_events(item, text.split('\n'));
    assert_eq!(text.split('\n').count() as u64, model::events(item), "{}: {text}", item.id);
    assert_eq!(&used.iter().copied().collect::<Vec<_>>(), versions, "{}: {text}", item.id);
    assert!(used.iter().all(|version| Some(*version) >= job.min_version), "{}: {text}", item.id);
    assert!(!job.is_single_version || used.len() == 1, "{}: {text}", item.id);
}

/// Checks that progress is a prefix of the output of an item, with the versions that generated it.
pub fn check_prefix(item: &Item, progress: &Progress) {
    assert_eq!(progress.last_event as usize, progress.text.len(), "{}", item.id);
    let used = check_events(item, progress.text.iter().map(String::as_str));
    assert_eq!(used, progress.versions, "{}", item.id);
}

/// Checks that events belong to an item and have no gaps, and returns their versions.
fn check_events<'a>(item: &Item, events: impl Iterator<Item = &'a str>) -> BTreeSet<Version> {
    let mut versions = BTreeSet::new();
    for (event, number) in events.zip(1..) {
        let (_, version) = event.rsplit_once('@').unwrap();
        let version: Version = version.parse().unwrap();
        assert_eq!(event, model::event(item, number, version), "{}", item.id);
        versions.insert(version);
    }
    versions
}
