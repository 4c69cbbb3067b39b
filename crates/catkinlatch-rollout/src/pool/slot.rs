//! One slot of a group, and the runs that are to fill it.

use super::{Partial, Sample};
use catkinlatch_base::{Instant, SampleId, Version};

/// A run in progress.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The run's id.
    pub sample: SampleId,
    /// When the run was started.
    pub started: Instant,
    /// The tokens of earlier runs, from which this run resumes.
    pub prefix: Partial,
    /// The tokens that this run has generated so far.
    pub produced: Partial,
    /// When the run last generated tokens, or else was started.
    pub progressed: Instant,
}

impl Run {
    /// Returns the oldest version of all tokens so far, including those of earlier runs.
    pub fn oldest(&self) -> Option<Version> {
        self.prefix.oldest().into_iter().chain(self.produced.oldest()).min()
    }

    /// Returns all tokens so far, including those of earlier runs.
    pub fn partial(&self) -> Partial {
        let mut joined = self.prefix.clone();
        joined.text.push_str(&self.produced.text);
        for span in &self.produced.spans {
            crate::evidence::push(&mut joined.spans, *span);
        }
        joined
    }

    /// Returns the tokens per second that this run has generated, without those of earlier runs.
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        self.produced.tokens() as f64 / elapsed.max(0.001)
    }
}

/// One slot of a group, to be filled with one sample.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    /// Expected number of tokens of the sample.
    pub estimate: f64,
    /// Number of runs started under the current epoch.
    pub attempts: u32,
    /// The runs in progress.
    pub runs: Vec<Run>,
    /// The tokens that the last run left, if no run is in progress.
    pub partial: Option<Partial>,
    /// The sample, once complete.
    pub completed: Option<Sample>,
}

impl Slot {
    /// Returns the expected number of tokens that are still to be generated, at least 1.
    pub fn remaining(&self) -> f64 {
        let existing_tokens = self.partial.as_ref().map_or(0, Partial::tokens) as f64;
        (self.estimate - existing_tokens).max(1.0)
    }

    /// Returns whether the sample is incomplete and has no run in progress.
    pub fn is_waiting(&self) -> bool {
        self.completed.is_none() && self.runs.is_empty()
    }

    /// Ends a run, and keeps its tokens if no other run is in progress.
    pub fn end_run(&mut self, sample: &SampleId) {
        let Some(index) = self.runs.iter().position(|run| run.sample == *sample) else { return };
        let run = self.runs.swap_remove(index);
        if self.runs.is_empty() {
            let partial = run.partial();
            self.partial = (partial.tokens() > 0).then_some(partial);
        }
    }

    /// Drops all work with tokens older than `floor`, and returns the runs to cancel.
    pub fn expire(&mut self, floor: Version) -> Vec<SampleId> {
        let is_too_old = |oldest: Option<Version>| oldest.is_some_and(|oldest| oldest < floor);
        if is_too_old(self.completed.as_ref().and_then(|sample| sample.evidence.oldest())) {
            self.completed = None;
        }
        if is_too_old(self.partial.as_ref().and_then(Partial::oldest)) {
            self.partial = None;
        }
        self.runs.extract_if(.., |run| is_too_old(run.oldest())).map(|run| run.sample).collect()
    }
}
