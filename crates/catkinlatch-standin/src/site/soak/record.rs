//! What was seen in a run.

use std::collections::BTreeSet;

/// What was seen in a run.
#[derive(Debug, Default)]
pub struct Record {
    /// Live requests that were sent.
    pub requests: u64,
    /// Live requests that were answered with success.
    pub served: u64,
    /// Streams that came to their end.
    pub streams: u64,
    /// Jobs that were accepted.
    pub jobs: u64,
    /// Results that were read.
    pub results: u64,
    /// Configurations that were acknowledged.
    pub configurations: u64,
    /// Requests that were refused, which promises that they never run.
    pub refused: BTreeSet<String>,
    /// Jobs that were refused and not handed in again, which promises that no item of them runs.
    pub refused_jobs: BTreeSet<String>,
    /// What must not be.
    pub violations: Vec<String>,
}

impl Record {
    /// Notes what must not be.
    pub fn violation(&mut self, violation: String) {
        log::error!("soak: {violation}");
        self.violations.push(violation);
    }

    /// Notes a violation unless something holds.
    pub fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds {
            self.violation(violation());
        }
    }
}
