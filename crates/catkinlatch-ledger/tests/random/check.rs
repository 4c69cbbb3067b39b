//! The invariants of the randomised runs, checked from outside.

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

/// What was seen so far.
#[derive(Default)]
pub struct Check {
    /// The results of each job by position, as first seen.
    results: BTreeMap<JobId, Vec<Arc<Outcome>>>,
    /// The jobs that were acknowledged and not dropped since.
    pub kept: BTreeMap<JobId, Arc<Job>>,
}

impl Check {
    /// Returns how many results were seen.
    pub fn listed(&self) -> u64 {
        self.results.values().map(|results| results.len() as u64).sum()
    }

    /// Checks what a host holds that has applied all that is acknowledged, or less.
    pub fn check(&mut self, state: &State, has_all: bool) {
        for (id, record) in &state.jobs {
            self.check_record(id, record);
        }
        if has_all {
            for (id, job) in &self.kept {
                let record = state.jobs.get(id).unwrap_or_else(|| panic!("{id} is lost"));
                assert_eq!(record.job, *job, "{id} is another");
            }
        }
    }

    fn check_record(&mut self, id: &JobId, record: &Record) {
        let seen = self.results.entry(id.clone()).or_default();
        for (position, outcome) in record.results.iter().enumerate() {
            match seen.get(position) {
                Some(first) => assert_eq!(first, outcome, "{id} changed at {position}"),
                None => {
                    check_outcome(&record.job, outcome);
                    seen.push(outcome.clone());
                }
            }
        }
        let items: BTreeSet<u32> = record.results.iter().map(|outcome| outcome.item).collect();
        assert_eq!(items.len(), record.results.len(), "{id} lists an item twice");
        for (position, item) in record.job.items.iter().enumerate() {
            if let Some(progress) = record.progress(position) {
                assert!(!record.is_done() && !record.is_finished(position), "{id} goes on");
                check_prefix(item, progress);
            }
        }
    }
}

/// Checks that a result is its item's whole text, with the versions that made it.
fn check_outcome(job: &Job, outcome: &Outcome) {
    let item = &job.items[outcome.item as usize];
    let End::Completed { text, versions, .. } = &outcome.end else { return };
    let made = check_events(item, text.split('\n'));
    assert_eq!(text.split('\n').count() as u64, model::events(item), "{}: {text}", item.id);
    assert_eq!(&made.iter().copied().collect::<Vec<_>>(), versions, "{}: {text}", item.id);
    assert!(made.iter().all(|version| Some(*version) >= job.min_version), "{}: {text}", item.id);
    assert!(!job.is_single_version || made.len() == 1, "{}: {text}", item.id);
}

/// Checks that what was generated is the beginning of an item's text, with its versions.
pub fn check_prefix(item: &Item, progress: &Progress) {
    assert_eq!(progress.last_event as usize, progress.text.len(), "{}", item.id);
    let made = check_events(item, progress.text.iter().map(String::as_str));
    assert_eq!(made, progress.versions, "{}", item.id);
}

/// Checks that events belong to an item and follow each other; returns their versions.
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
