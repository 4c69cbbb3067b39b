//! How many engines load at one time, and for which model first.

use catkinlatch_base::ModelId;
use std::cmp::Ordering;

/// The share of the engines that load at one time, rounded up: more slow each other down.
///
/// The users' pages tell 2 of 9, 8 of 38 and 7 of 36.
const LOADING_SHARE: f64 = 0.19;

/// What no engine counts as where items are divided by engines: little beside one.
const NO_ENGINE: f64 = 0.01;

/// What is known of one model when the next load is chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The model.
    pub model: ModelId,
    /// How many of its items wait for an engine.
    pub waiting: usize,
    /// How many engines are kept for it.
    pub kept: usize,
    /// How many of those hold weights that its next job takes, or load them.
    pub useful: usize,
}

impl Want {
    /// Compares by need: the model with most waiting items for each engine of use goes first, so
    /// that none waits for the last engines of another; then that with the smallest part of its
    /// engines of use.
    pub fn before(&self, other: &Self) -> Ordering {
        let queue = |want: &Self| want.waiting as f64 / (want.useful as f64).max(NO_ENGINE);
        let part = |want: &Self| want.useful as f64 / want.kept.max(1) as f64;
        queue(other)
            .total_cmp(&queue(self))
            .then_with(|| part(self).total_cmp(&part(other)))
            .then_with(|| self.model.cmp(&other.model))
    }
}

/// Returns how many of some engines load at one time.
pub fn loads_at_once(engines: usize) -> usize {
    ((engines as f64 * LOADING_SHARE).ceil() as usize).max(1)
}
