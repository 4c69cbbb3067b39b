//! Counters of what a team used of a model or service.

use catkinlatch_base::{ModelId, TeamId, Tokens, derive_schema};
use std::collections::BTreeMap;

derive_schema! {
    /// What one team used of one model or service in a window.
    #[derive(Eq)]
    pub struct Figure {
        /// The team.
        pub team: TeamId,
        /// The model or service.
        pub model: ModelId,
        /// Requests and samples that were completed.
        pub requests: u64,
        /// Tokens read.
        pub prompt_tokens: Tokens,
        /// Tokens generated.
        pub completion_tokens: Tokens,
        /// Time on targets in milliseconds.
        pub target_ms: u64,
    }
}

impl Figure {
    /// Creates a figure of zero.
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

    /// Returns whether nothing was used.
    pub fn is_zero(&self) -> bool {
        self.requests == 0
            && self.prompt_tokens == Tokens::default()
            && self.completion_tokens == Tokens::default()
            && self.target_ms == 0
    }

    /// Adds the counters of `other`.
    pub fn add(&mut self, other: &Self) {
        self.join(other, |a, b| a.saturating_add(b));
    }

    /// Raises each counter to that of `other` where that is higher.
    ///
    /// Counters of one node only grow, so this merges two readings of them in any order.
    pub fn raise(&mut self, other: &Self) {
        self.join(other, u64::max);
    }

    /// Lowers each counter by that of `other`, down to zero.
    pub fn subtract(&mut self, other: &Self) {
        self.join(other, u64::saturating_sub);
    }

    fn join(&mut self, other: &Self, join: impl Fn(u64, u64) -> u64) {
        let tokens = |a: Tokens, b: Tokens| Tokens::new(join(a.get(), b.get()));
        self.requests = join(self.requests, other.requests);
        self.prompt_tokens = tokens(self.prompt_tokens, other.prompt_tokens);
        self.completion_tokens = tokens(self.completion_tokens, other.completion_tokens);
        self.target_ms = join(self.target_ms, other.target_ms);
    }
}

/// Joins `more` into figures that are sorted by team and model, and keeps them sorted.
pub fn merge(figures: &mut Vec<Figure>, more: &[Figure], join: impl Fn(&mut Figure, &Figure)) {
    let mut sorted: BTreeMap<_, _> =
        figures.drain(..).map(|f| ((f.team.clone(), f.model.clone()), f)).collect();
    for figure in more {
        let (team, model) = (figure.team.clone(), figure.model.clone());
        let zero = || Figure::zero(team.clone(), model.clone());
        join(sorted.entry((team.clone(), model.clone())).or_insert_with(zero), figure);
    }
    figures.extend(sorted.into_values());
}

/// Returns what `figures` have beyond `counted`.
pub fn difference(figures: &[Figure], counted: &[Figure]) -> Vec<Figure> {
    let mut rest = figures.to_vec();
    merge(&mut rest, counted, Figure::subtract);
    rest.retain(|figure| !figure.is_zero());
    rest
}
