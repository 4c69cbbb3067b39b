//! How many engines load concurrently, and for which model first.

use catkinlatch_base::ModelId;
use std::cmp::Ordering;

/// Fraction of the engines that load concurrently, rounded up; more loads slow each other down.
///
/// The deployments served so far load 2 of 9, 8 of 38 and 7 of 36 engines without such a slowdown.
const LOADING_FRACTION: f64 = 0.19;

/// Number that replaces zero engines as a divisor; small compared to one.
const ZERO_ENGINES_WEIGHT: f64 = 0.01;

/// The demand of one model for loads, as known when the next load is chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The model.
    pub model: ModelId,
    /// Number of the model's items that wait for an engine and that its newest version can run.
    pub waiting: usize,
    /// Number of engines that may load the model's weights.
    pub candidates: usize,
    /// Number of those engines that have weights which all those items, or else the model's next
    /// job, accept, or that are loading the model.
    pub useful: usize,
}

impl Want {
    /// Compares by need, the neediest model first.
    ///
    /// The model with the most waiting items per useful engine goes first, so that no model waits
    /// for the last engines of another; then the one with the smallest fraction of useful engines.
    pub fn compare_need(&self, other: &Self) -> Ordering {
        let items_per_engine =
            |want: &Self| want.waiting as f64 / (want.useful as f64).max(ZERO_ENGINES_WEIGHT);
        let useful_fraction = |want: &Self| want.useful as f64 / want.candidates.max(1) as f64;
        items_per_engine(other)
            .total_cmp(&items_per_engine(self))
            .then_with(|| useful_fraction(self).total_cmp(&useful_fraction(other)))
            .then_with(|| self.model.cmp(&other.model))
    }
}

/// Returns how many of `engines` engines load concurrently, at least 1.
pub fn loads_at_once(engines: usize) -> usize {
    ((engines as f64 * LOADING_FRACTION).ceil() as usize).max(1)
}
