//! One place of a group, and the runs that are to fill it.

use super::{Partial, Sample};
use catkinlatch_base::{Instant, SampleId, Version};

/// A run under way.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The run's id.
    pub sample: SampleId,
    /// When it was started.
    pub started: Instant,
    /// The tokens that earlier runs left.
    pub earlier: Partial,
    /// The tokens that this run has produced so far.
    pub produced: Partial,
    /// When it last produced tokens.
    pub progressed: Instant,
}

impl Run {
    /// Returns the oldest version of all tokens so far.
    pub fn oldest(&self) -> Option<Version> {
        self.earlier.oldest().into_iter().chain(self.produced.oldest()).min()
    }

    /// Returns all tokens so far.
    pub fn partial(&self) -> Partial {
        let mut whole = self.earlier.clone();
        whole.text.push_str(&self.produced.text);
        for span in &self.produced.spans {
            crate::evidence::push(&mut whole.spans, *span);
        }
        whole
    }

    /// Returns the tokens that this run produced in a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        self.produced.tokens() as f64 / elapsed.max(0.001)
    }
}

/// One place of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    /// How many tokens the sample is expected to have.
    pub estimate: f64,
    /// How many runs were started under the present epoch.
    pub attempts: u32,
    /// The runs under way.
    pub runs: Vec<Run>,
    /// What the last run left, if nothing runs.
    pub partial: Option<Partial>,
    /// The sample, once it is complete.
    pub done: Option<Sample>,
}

impl Slot {
    /// Estimates the tokens that are still to be generated.
    pub fn remaining(&self) -> f64 {
        let had = self.partial.as_ref().map_or(0, Partial::tokens) as f64;
        (self.estimate - had).max(1.0)
    }

    /// Returns whether a run is to be started.
    pub fn is_waiting(&self) -> bool {
        self.done.is_none() && self.runs.is_empty()
    }

    /// Ends a run and keeps the tokens that it leaves, if no other run goes on.
    pub fn end(&mut self, sample: &SampleId) {
        let Some(place) = self.runs.iter().position(|run| run.sample == *sample) else { return };
        let run = self.runs.swap_remove(place);
        if self.runs.is_empty() {
            let partial = run.partial();
            self.partial = (partial.tokens() > 0).then_some(partial);
        }
    }

    /// Gives up all work that is older than `floor`, and returns the runs to cancel.
    pub fn expire(&mut self, floor: Version) -> Vec<SampleId> {
        let old = |oldest: Option<Version>| oldest.is_some_and(|oldest| oldest < floor);
        if old(self.done.as_ref().and_then(|sample| sample.evidence.oldest())) {
            self.done = None;
        }
        if old(self.partial.as_ref().and_then(Partial::oldest)) {
            self.partial = None;
        }
        self.runs.extract_if(.., |run| old(run.oldest())).map(|run| run.sample).collect()
    }
}
