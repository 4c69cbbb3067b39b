//! Counters of what teams used, by window.

use catkinlatch_base::{ModelId, TeamId, Tokens, WindowId, derive_schema};
use catkinlatch_state::window::Figure;
use std::collections::BTreeMap;

derive_schema! {
    /// What one request or sample used.
    pub struct Record {
        /// The team that it ran for.
        pub team: TeamId,
        /// The model or service that served it.
        pub model: ModelId,
        /// Tokens read.
        pub prompt_tokens: Tokens,
        /// Tokens generated.
        pub completion_tokens: Tokens,
        /// Time on targets in milliseconds.
        pub target_ms: u64,
    }
}

/// Cumulative counters by window, team and model.
///
/// ```
/// use catkinlatch_base::{Tokens, WindowId};
/// use catkinlatch_fleet::{Meter, meter::Record};
///
/// let mut meter = Meter::new();
/// let record = Record {
///     team: "harbour".parse().expect("the id is valid"),
///     model: "draft".parse().expect("the id is valid"),
///     prompt_tokens: Tokens::new(3),
///     completion_tokens: Tokens::new(5),
///     target_ms: 20,
/// };
/// meter.add(WindowId::new(7), &record);
/// assert_eq!(meter.figures(WindowId::new(7))[0].completion_tokens, Tokens::new(5));
/// ```
#[derive(Debug, Default)]
pub struct Meter {
    windows: BTreeMap<WindowId, BTreeMap<(TeamId, ModelId), Figure>>,
}

impl Meter {
    /// Creates a meter without figures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request or sample.
    pub fn add(&mut self, window: WindowId, record: &Record) {
        let key = (record.team.clone(), record.model.clone());
        let empty = || Figure {
            team: record.team.clone(),
            model: record.model.clone(),
            requests: 0,
            prompt_tokens: Tokens::default(),
            completion_tokens: Tokens::default(),
            target_ms: 0,
        };
        let figure = self.windows.entry(window).or_default().entry(key).or_insert_with(empty);
        figure.requests += 1;
        figure.prompt_tokens += record.prompt_tokens;
        figure.completion_tokens += record.completion_tokens;
        figure.target_ms += record.target_ms;
    }

    /// Returns the figures of a window, sorted by team and model.
    pub fn figures(&self, window: WindowId) -> Vec<Figure> {
        self.windows.get(&window).map_or_else(Vec::new, |w| w.values().cloned().collect())
    }
}
