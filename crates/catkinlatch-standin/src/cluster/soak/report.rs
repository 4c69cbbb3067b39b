//! The report of a soak test.

use super::{Fault, training::Outcome};
use crate::{cluster::Outcomes, engine::Record, platform::Platform};
use catkinlatch_base::{RequestId, Tokens};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, fs, io,
    path::Path,
};

/// How many versions behind the newest the weights of a sample may be, as configured for the
/// trainer.
const MAX_AGE_VERSIONS: u64 = 1;

/// Marks a log line in which a process reports that it detected a broken invariant.
const VIOLATION_MARK: &str = "is violated";

/// The report of a soak test.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The seed of the random choices.
    pub seed: u64,
    /// The injected faults, in order.
    pub faults: Vec<Fault>,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests that got their own complete answer.
    pub answered: usize,
    /// Number of requests that were refused as not run.
    pub not_run: usize,
    /// Number of requests for which the caller can't tell whether they ran.
    pub unknown: usize,
    /// Number of batches that the trainer fetched.
    pub batches: usize,
    /// Number of usage windows that were reported.
    pub windows: usize,
    /// Number of tokens that the engines generated for complete answers.
    pub tokens_generated: u64,
    /// Number of generated tokens in the usage reports, with corrections.
    pub tokens_reported: u64,
    /// Descriptions of broken guarantees.
    pub violations: Vec<String>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Compares the answers to callers with the requests that the services ran.
    pub fn check_callers(&mut self, outcomes: &Outcomes, runs: &[RequestId]) {
        self.requests = outcomes.total();
        self.answered = outcomes.answered.len();
        self.not_run = outcomes.not_run.len();
        self.unknown = outcomes.unknown.len();
        self.violations.extend(outcomes.violations(runs));
    }

    /// Checks the batches for duplicates, stale versions and changed contents, and compares them
    /// with the records of the engines.
    pub fn check_training(&mut self, outcome: &Outcome, records: &[Record]) {
        self.batches = outcome.batches.len();
        for number in &outcome.changed_batches {
            self.violations.push(format!("batch {number} changed between two answers"));
        }
        let runs: BTreeMap<&str, &Record> =
            records.iter().map(|record| (record.request.as_str(), record)).collect();
        let mut seen = BTreeSet::new();
        for (batch, newest) in &outcome.batches {
            let floor = newest.get().saturating_sub(MAX_AGE_VERSIONS);
            for sample in &batch.samples {
                let id = &sample.task.sample;
                if !seen.insert((sample.task.group.clone(), sample.task.index)) {
                    self.violations.push(format!("sample {id} was delivered twice"));
                }
                let versions: Vec<_> = sample.evidence.versions().collect();
                if versions.iter().any(|version| version.get() < floor) {
                    self.violations.push(format!("sample {id} is too old for version {newest}"));
                }
                if runs.get(id.as_str()).is_none_or(|record| record.versions != versions) {
                    self.violations.push(format!("sample {id} names versions that did not run"));
                }
            }
        }
    }

    /// Compares the usage reports with the records of the engines.
    pub fn check_usage(&mut self, platform: &Platform, records: &[Record]) {
        let reports = platform.reports();
        self.windows = reports.len();
        self.tokens_generated = records.iter().map(|record| record.completion_tokens).sum();
        let figures = reports.iter().flat_map(|report| {
            let corrections = report.corrections.iter().flat_map(|correction| &correction.figures);
            report.figures.iter().chain(corrections)
        });
        self.tokens_reported = figures.map(|f| f.completion_tokens).sum::<Tokens>().get();
        if platform.conflicts() > 0 {
            let text = format!(
                "{} usage reports differed from the first one of their window",
                platform.conflicts()
            );
            self.violations.push(text);
        }
        if self.tokens_reported > self.tokens_generated {
            self.violations.push("more tokens were reported than generated".to_owned());
        }
        if records.iter().any(|record| record.saw_caller_key) {
            self.violations.push("an engine saw a caller's key".to_owned());
        }
    }

    /// Searches the logs of all processes in `folder` for panics and for invariants that the
    /// processes themselves found broken.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a log can't be read.
    pub fn check_logs(&mut self, folder: &Path) -> io::Result<()> {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let text = fs::read_to_string(&path)?;
            let is_violation =
                |line: &&str| line.contains(VIOLATION_MARK) || line.contains("panicked");
            let lines = text.lines().filter(is_violation);
            self.violations.extend(lines.map(|line| format!("{}: {line}", path.display())));
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {} faults", self.seed, self.faults.len())?;
        let (answered, not_run, unknown) = (self.answered, self.not_run, self.unknown);
        let requests = self.requests;
        writeln!(
            f,
            "{requests} requests: {answered} answered, {not_run} not run, {unknown} unknown"
        )?;
        let (made, reported) = (self.tokens_generated, self.tokens_reported);
        writeln!(f, "{} batches, {} windows", self.batches, self.windows)?;
        writeln!(f, "{made} tokens made, {reported} reported")?;
        writeln!(f, "{} violations", self.violations.len())?;
        self.violations.iter().try_for_each(|violation| writeln!(f, "  {violation}"))
    }
}
