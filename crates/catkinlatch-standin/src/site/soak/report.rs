//! What came of a run.

use super::world::World;
use crate::site::Site;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// What chose the failures.
    pub seed: u64,
    /// The failures.
    pub faults: Vec<String>,
    /// How much was done, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// What must not be.
    pub violations: Vec<String>,
}

impl Report {
    /// Compares what was told with what targets and platform saw.
    pub fn new(seed: u64, faults: Vec<String>, world: &World, site: &Site) -> Self {
        let reports = site.platform.reports();
        let mut record = world.record();
        for (window, report) in &reports {
            record.check(!report.is_contradicted, || {
                format!("window {window} was reported with different figures")
            });
        }
        for id in record.refused.clone() {
            let runs: usize = world.services.iter().map(|service| service.runs(&id)).sum();
            let streams = world.engines.iter().filter(|e| e.memory().runs.contains_key(&id));
            let runs = runs + streams.count();
            record.check(runs == 0, || format!("{id} was refused and ran {runs} times"));
        }
        for (id, runs) in runs_of_all(world) {
            let is_single = world.services.iter().any(|service| service.is_at(&id, "/single/1"));
            record
                .check(!is_single || runs == 1, || format!("{id} may run once, ran {runs} times"));
        }
        let refused_jobs = record.refused_jobs.clone();
        for engine in &world.engines {
            for item in engine.memory().runs.keys() {
                let job = item.rsplit_once('-').map_or("", |(job, _)| job);
                record.check(!refused_jobs.contains(job), || {
                    format!("{item} ran though its job was refused")
                });
            }
        }
        for (fence, holders) in holders(world) {
            record.check(holders.len() == 1, || format!("{holders:?} gave orders as {fence}"));
        }
        let counts = BTreeMap::from([
            ("requests", record.requests),
            ("served", record.served),
            ("refused", record.refused.len() as u64),
            ("streams", record.streams),
            ("jobs", record.jobs),
            ("refused jobs", record.refused_jobs.len() as u64),
            ("results", record.results),
            ("configurations", record.configurations),
            ("windows", reports.len() as u64),
        ]);
        Self { seed, faults, counts, violations: record.violations.clone() }
    }
}

/// Returns how often all services together ran each request.
fn runs_of_all(world: &World) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for service in &world.services {
        for id in service.ids() {
            *runs.entry(id.clone()).or_default() += service.runs(&id);
        }
    }
    runs
}

/// Returns who gave orders under each fencing number.
fn holders(world: &World) -> BTreeMap<u64, BTreeSet<String>> {
    let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for engine in &world.engines {
        for (fence, names) in &engine.memory().holders {
            holders.entry(*fence).or_default().extend(names.iter().cloned());
        }
    }
    holders
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {} faults", self.seed, self.faults.len())?;
        self.counts.iter().try_for_each(|(name, count)| writeln!(f, "  {count} {name}"))?;
        writeln!(f, "{} violations", self.violations.len())?;
        self.violations.iter().try_for_each(|violation| writeln!(f, "  {violation}"))
    }
}
