//! Usage counters of a team for a model or service.

use catkinlatch_base::{ModelId, TeamId, Tokens, derive_schema};
use std::collections::BTreeMap;

derive_schema! {
    /// The usage of one model or service by one team in a window.
    #[derive(Eq)]
    pub struct Figure {
        /// Team that is billed.
        pub team: TeamId,
        /// Model or service that was used.
        pub model: ModelId,
        /// Number of completed requests and samples.
        pub requests: u64,
        /// Number of prompt tokens.
        pub prompt_tokens: Tokens,
        /// Number of generated tokens.
        pub completion_tokens: Tokens,
        /// Time spent on targets, in milliseconds.
        pub target_ms: u64,
    }
}

impl Figure {
    /// Creates a figure with all counters at zero.
    pub fn zero(team: TeamId, model: ModelId) -> Self {
        Self {
            team,
            model,
            requests: 0,
            prompt_tokens: Tokens::default(),
            completion_tokens: Tokens::default(),
            target_ms: 0,
        }
    }

    /// Returns whether all counters are zero.
    pub fn is_zero(&self) -> bool {
        self.requests == 0
            && self.prompt_tokens == Tokens::default()
            && self.completion_tokens == Tokens::default()
            && self.target_ms == 0
    }

    /// Adds the counters of `other`, saturating.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, |a, b| a.saturating_add(b));
    }

    /// Sets each counter to the maximum of itself and that of `other`.
    ///
    /// The counters of one node only grow, so this merges two readings of them in any order.
    pub fn raise(&mut self, other: &Self) {
        self.combine(other, u64::max);
    }

    /// Subtracts the counters of `other`, saturating at zero.
    pub fn subtract(&mut self, other: &Self) {
        self.combine(other, u64::saturating_sub);
    }

    fn combine(&mut self, other: &Self, combine: impl Fn(u64, u64) -> u64) {
        let tokens = |a: Tokens, b: Tokens| Tokens::new(combine(a.get(), b.get()));
        self.requests = combine(self.requests, other.requests);
        self.prompt_tokens = tokens(self.prompt_tokens, other.prompt_tokens);
        self.completion_tokens = tokens(self.completion_tokens, other.completion_tokens);
        self.target_ms = combine(self.target_ms, other.target_ms);
    }
}

/// Merges `more` into `figures` with `combine`, and sorts the result by team and model.
///
/// A figure that is absent from `figures` counts as zero.
pub fn merge(figures: &mut Vec<Figure>, more: &[Figure], combine: impl Fn(&mut Figure, &Figure)) {
    let mut sorted: BTreeMap<_, _> =
        figures.drain(..).map(|f| ((f.team.clone(), f.model.clone()), f)).collect();
    for figure in more {
        let (team, model) = (figure.team.clone(), figure.model.clone());
        let zero = || Figure::zero(team.clone(), model.clone());
        combine(sorted.entry((team.clone(), model.clone())).or_insert_with(zero), figure);
    }
    figures.extend(sorted.into_values());
}

/// Returns the usage in `figures` that exceeds `counted`, without zero figures.
pub fn difference(figures: &[Figure], counted: &[Figure]) -> Vec<Figure> {
    let mut rest = figures.to_vec();
    merge(&mut rest, counted, Figure::subtract);
    rest.retain(|figure| !figure.is_zero());
    rest
}
