//! The record of a soak test while it runs.

use std::collections::BTreeSet;

/// Counts, refusals and violations that were recorded so far.
#[derive(Debug, Default)]
pub struct Record {
    /// Number of live requests that were sent.
    pub requests: u64,
    /// Number of live requests that were answered with success.
    pub served: u64,
    /// Number of streams that were read to their regular end.
    pub streams: u64,
    /// Number of these that a caller had resumed.
    pub resumed_streams: u64,
    /// Number of jobs that were accepted.
    pub jobs: u64,
    /// Number of results that were read, each counted once.
    pub results: u64,
    /// Number of configurations that were acknowledged.
    pub configurations: u64,
    /// Number of zones that were evacuated and restored.
    pub evacuations: u64,
    /// Ids of requests that were refused, which guarantees that they never run.
    pub refused: BTreeSet<String>,
    /// Ids of jobs that were refused and not submitted again, which guarantees that none of their
    /// items run.
    pub refused_jobs: BTreeSet<String>,
    /// Descriptions of broken guarantees.
    pub violations: Vec<String>,
}

impl Record {
    /// Records and logs a violation.
    pub fn violation(&mut self, violation: String) {
        log::error!("soak: {violation}");
        self.violations.push(violation);
    }

    /// Records a violation unless `holds` is true.
    pub fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds {
            self.violation(violation());
        }
    }
}
