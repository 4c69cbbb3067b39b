//! A simulated engine.

use catkinlatch_base::{Instant, SampleId, Tokens, Version};
use catkinlatch_rollout::evidence::{self, Span};

/// The share of its rate at which a slow engine works.
const SLOW: f64 = 0.2;

/// A run on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The trainer's place in the case.
    pub trainer: usize,
    /// The run's id.
    pub sample: SampleId,
    /// Tokens still to be generated.
    pub missing: u64,
    /// The engine's own record of what produced the tokens.
    pub record: Vec<Span>,
    /// The part of a token that is under way.
    rest: f64,
}

impl Run {
    /// Creates a run that generates `missing` tokens.
    pub fn new(trainer: usize, sample: SampleId, missing: u64) -> Self {
        Self { trainer, sample, missing, record: Vec::new(), rest: 0.0 }
    }
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The version of each trainer's weights.
    pub versions: Vec<Version>,
    /// The runs under way.
    pub runs: Vec<Run>,
    /// When a slow spell ends.
    pub slow_until: Instant,
    /// When it is back after a crash.
    pub down_until: Instant,
    /// Whether it loads weights.
    pub loading: bool,
}

impl Engine {
    /// Creates an engine without runs that has the base weights of all trainers.
    pub fn new(trainers: usize) -> Self {
        Self {
            versions: vec![Version::default(); trainers],
            runs: Vec::new(),
            slow_until: Instant::ZERO,
            down_until: Instant::ZERO,
            loading: false,
        }
    }

    /// Returns whether it takes runs.
    pub fn is_up(&self, now: Instant) -> bool {
        self.down_until <= now
    }

    /// Generates tokens for `seconds`, and reports the tokens of each run.
    pub fn work(
        &mut self,
        now: Instant,
        seconds: f64,
        rate: f64,
        mut progress: impl FnMut(&Run, Span),
    ) {
        if self.loading || !self.is_up(now) {
            return;
        }
        let speed = if self.slow_until > now { SLOW } else { 1.0 };
        for run in &mut self.runs {
            let made = run.rest + seconds * rate * speed;
            let whole = (made as u64).min(run.missing);
            run.rest = made - made.floor();
            if whole == 0 {
                continue;
            }
            run.missing -= whole;
            let span = Span { version: self.versions[run.trainer], tokens: Tokens::new(whole) };
            evidence::push(&mut run.record, span);
            progress(run, span);
        }
    }

    /// Takes out the runs that are complete.
    pub fn complete(&mut self) -> Vec<Run> {
        self.runs.extract_if(.., |run| run.missing == 0).collect()
    }

    /// Takes out a run.
    pub fn cancel(&mut self, sample: &SampleId) {
        self.runs.retain(|run| run.sample != *sample);
    }
}
