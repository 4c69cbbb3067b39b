//! The report of a soak test.

use super::context::Context;
use crate::site::{CRASHING_BODY, Engine, Service, Site};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// The number of targets that a request may crash: three, and three more tries, by the platform.
const MAX_CRASHES: u64 = 6;

/// The report of a soak test.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of the random choices.
    pub seed: u64,
    /// Descriptions of the injected faults, in order.
    pub faults: Vec<String>,
    /// Number of requests, jobs, results and so on, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// Descriptions of broken guarantees.
    pub violations: Vec<String>,
}

impl Report {
    /// Compares the responses that were recorded with the records of the targets and the platform.
    pub fn new(seed: u64, faults: Vec<String>, context: &Context, site: &Site) -> Self {
        let reports = site.platform.reports();
        let mut record = context.record();
        for (window, report) in &reports {
            record.check(!report.is_contradicted, || {
                format!("window {window} was reported again with different counts")
            });
        }
        for id in record.refused.clone() {
            let runs: usize = context.services.iter().map(|service| service.runs(&id)).sum();
            let streams = context.engines.iter().filter(|e| e.state().runs.contains_key(&id));
            let runs = runs + streams.count();
            record.check(runs == 0, || format!("{id} was refused, but ran {runs} times"));
        }
        for (id, runs) in total_runs(context) {
            let is_single =
                context.services.iter().any(|service| service.ran_at_path(&id, "/single/1"));
            record.check(!is_single || runs == 1, || {
                format!("{id} must run at most once, but ran {runs} times")
            });
        }
        let refused_jobs = record.refused_jobs.clone();
        for engine in &context.engines {
            for item in engine.state().runs.keys() {
                let job = item.rsplit_once('-').map_or("", |(job, _)| job);
                record.check(!refused_jobs.contains(job), || {
                    format!("{item} ran though its job was refused")
                });
            }
        }
        for (fence, holders) in holders(context) {
            record.check(holders.len() == 1, || {
                format!("{holders:?} sent orders with the same fencing token {fence}")
            });
        }
        let crashes = crashes(context);
        for (body, crashes) in &crashes {
            record.check(*crashes <= MAX_CRASHES, || {
                format!("{body} crashed {crashes} targets, more than {MAX_CRASHES}")
            });
        }
        let counts = BTreeMap::from([
            ("crashed targets", crashes.values().sum()),
            ("requests", record.requests),
            ("served", record.served),
            ("refused", record.refused.len() as u64),
            ("streams", record.streams),
            ("resumed streams", record.resumed_streams),
            ("jobs", record.jobs),
            ("refused jobs", record.refused_jobs.len() as u64),
            ("results", record.results),
            ("configurations", record.configurations),
            ("evacuations", record.evacuations),
            ("windows", reports.len() as u64),
        ]);
        Self { seed, faults, counts, violations: record.violations.clone() }
    }
}

/// Returns how many targets crashed under each request, by its body.
fn crashes(context: &Context) -> BTreeMap<String, u64> {
    let mut crashes = BTreeMap::new();
    let services = context.services.iter().flat_map(Service::crashes);
    let engines = context.engines.iter().flat_map(Engine::crashes);
    for body in services.chain(engines).filter(|body| body.starts_with(CRASHING_BODY)) {
        *crashes.entry(body).or_default() += 1;
    }
    crashes
}

/// Returns how many times each request ran, summed over all services.
fn total_runs(context: &Context) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for service in &context.services {
        for id in service.request_ids() {
            *runs.entry(id.clone()).or_default() += service.runs(&id);
        }
    }
    runs
}

/// Returns the holders that sent orders with each fencing token.
fn holders(context: &Context) -> BTreeMap<u64, BTreeSet<String>> {
    let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for engine in &context.engines {
        for (fence, names) in &engine.state().holders {
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
