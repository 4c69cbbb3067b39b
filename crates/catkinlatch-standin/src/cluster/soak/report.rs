//! What a soak saw, and what of it breaks a promise.

use super::{Fault, training::Trained};
use crate::{cluster::Tally, engine::Record, platform::Platform};
use catkinlatch_base::{RequestId, Tokens};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, fs, io,
    path::Path,
};

/// How many versions a sample may lie behind the newest, as the trainer's configuration says.
const MAX_AGE_VERSIONS: u64 = 1;

/// How an invariant that the program found broken reads in its log.
const VIOLATION_MARK: &str = "is violated";

/// What a soak saw.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The seed that chose the failures.
    pub seed: u64,
    /// The failures, in order.
    pub faults: Vec<Fault>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that got their own whole answer.
    pub answered: usize,
    /// Requests that were refused as not run.
    pub not_run: usize,
    /// Requests whose fate their caller does not know.
    pub unknown: usize,
    /// Batches that the trainer took.
    pub batches: usize,
    /// Usage windows that were reported.
    pub windows: usize,
    /// Tokens that the engines made for whole answers.
    pub tokens_made: u64,
    /// Tokens that were reported.
    pub tokens_reported: u64,
    /// What breaks a promise.
    pub violations: Vec<String>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Compares what callers saw with what the services ran.
    pub fn judge_callers(&mut self, tally: &Tally, runs: &[RequestId]) {
        self.requests = tally.total();
        self.answered = tally.answered.len();
        self.not_run = tally.not_run.len();
        self.unknown = tally.unknown.len();
        self.violations.extend(tally.violations(runs));
    }

    /// Compares the batches with each other and with what the engines ran.
    pub fn judge_training(&mut self, trained: &Trained, records: &[Record]) {
        self.batches = trained.batches.len();
        for number in &trained.changed {
            self.violations.push(format!("batch {number} changed between two answers"));
        }
        let runs: BTreeMap<&str, &Record> =
            records.iter().map(|record| (record.request.as_str(), record)).collect();
        let mut seen = BTreeSet::new();
        for (batch, newest) in &trained.batches {
            let floor = newest.get().saturating_sub(MAX_AGE_VERSIONS);
            for sample in &batch.samples {
                let id = &sample.task.sample;
                if !seen.insert((sample.task.group.clone(), sample.task.index)) {
                    self.violations.push(format!("sample {id} was delivered twice"));
                }
                let versions: Vec<_> = sample.evidence.versions().collect();
                if versions.iter().any(|version| version.get() < floor) {
                    self.violations.push(format!("sample {id} is too old for {newest}"));
                }
                if runs.get(id.as_str()).is_none_or(|record| record.versions != versions) {
                    self.violations.push(format!("sample {id} names versions that did not run"));
                }
            }
        }
    }

    /// Compares the usage reports with what the engines made.
    pub fn judge_usage(&mut self, platform: &Platform, records: &[Record]) {
        let reports = platform.reports();
        self.windows = reports.len();
        self.tokens_made = records.iter().map(|record| record.completion_tokens).sum();
        let figures = reports.iter().flat_map(|report| {
            let late = report.corrections.iter().flat_map(|correction| &correction.figures);
            report.figures.iter().chain(late)
        });
        self.tokens_reported = figures.map(|f| f.completion_tokens).sum::<Tokens>().get();
        if platform.conflicts() > 0 {
            let text = format!("{} windows were reported differently", platform.conflicts());
            self.violations.push(text);
        }
        if self.tokens_reported > self.tokens_made {
            self.violations.push("more tokens were reported than made".to_owned());
        }
        if records.iter().any(|record| record.saw_caller_key) {
            self.violations.push("an engine saw a caller's key".to_owned());
        }
    }

    /// Looks for invariants that the processes found broken themselves.
    pub fn judge_logs(&mut self, folder: &Path) -> io::Result<()> {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let text = fs::read_to_string(&path)?;
            let marked = |line: &&str| line.contains(VIOLATION_MARK) || line.contains("panicked");
            let lines = text.lines().filter(marked);
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
        let (made, reported) = (self.tokens_made, self.tokens_reported);
        writeln!(f, "{} batches, {} windows", self.batches, self.windows)?;
        writeln!(f, "{made} tokens made, {reported} reported")?;
        writeln!(f, "{} violations", self.violations.len())?;
        self.violations.iter().try_for_each(|violation| writeln!(f, "  {violation}"))
    }
}
