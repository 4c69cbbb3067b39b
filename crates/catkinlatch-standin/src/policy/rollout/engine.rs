//! A simulated engine.

use catkinlatch_base::{Instant, SampleId, Tokens, Version};
use catkinlatch_rollout::evidence::{self, Span};

/// Token rate of a slow engine relative to its normal rate.
const SLOW_FACTOR: f64 = 0.2;

/// A run of a sample on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the trainer in [`Case::trainers`](super::Case::trainers).
    pub trainer: usize,
    /// Identifier of the run.
    pub sample: SampleId,
    /// Tokens still to be generated.
    pub remaining_tokens: u64,
    /// Weight versions that produced the tokens, as recorded by the engine.
    pub record: Vec<Span>,
    /// Fraction of the next token that has been generated.
    fraction: f64,
}

impl Run {
    /// Creates a run that generates `remaining_tokens` tokens.
    pub fn new(trainer: usize, sample: SampleId, remaining_tokens: u64) -> Self {
        Self { trainer, sample, remaining_tokens, record: Vec::new(), fraction: 0.0 }
    }
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Loaded version of each trainer's weights.
    pub versions: Vec<Version>,
    /// Runs in flight.
    pub runs: Vec<Run>,
    /// End of the last slowdown.
    pub slow_until: Instant,
    /// End of the outage after the last crash.
    pub down_until: Instant,
    /// Whether the engine is loading weights, during which it generates nothing.
    pub is_loading: bool,
}

impl Engine {
    /// Creates an engine without runs and with the initial weights of all trainers.
    pub fn new(trainers: usize) -> Self {
        Self {
            versions: vec![Version::default(); trainers],
            runs: Vec::new(),
            slow_until: Instant::ZERO,
            down_until: Instant::ZERO,
            is_loading: false,
        }
    }

    /// Returns whether the engine is not down after a crash.
    pub fn is_up(&self, now: Instant) -> bool {
        self.down_until <= now
    }

    /// Generates tokens for `seconds` at `rate` tokens per second and run.
    ///
    /// Calls `progress` for each run that generated at least one whole token.
    pub fn generate(
        &mut self,
        now: Instant,
        seconds: f64,
        rate: f64,
        mut progress: impl FnMut(&Run, Span),
    ) {
        if self.is_loading || !self.is_up(now) {
            return;
        }
        let speed = if self.slow_until > now { SLOW_FACTOR } else { 1.0 };
        for run in &mut self.runs {
            let generated = run.fraction + seconds * rate * speed;
            let whole = (generated as u64).min(run.remaining_tokens);
            run.fraction = generated - generated.floor();
            if whole == 0 {
                continue;
            }
            run.remaining_tokens -= whole;
            let span = Span { version: self.versions[run.trainer], tokens: Tokens::new(whole) };
            evidence::push(&mut run.record, span);
            progress(run, span);
        }
    }

    /// Removes and returns the completed runs.
    pub fn take_completed(&mut self) -> Vec<Run> {
        self.runs.extract_if(.., |run| run.remaining_tokens == 0).collect()
    }

    /// Removes the run of a sample, if there is one.
    pub fn cancel(&mut self, sample: &SampleId) {
        self.runs.retain(|run| run.sample != *sample);
    }
}
