//! Usage counters by window, team and model.

use catkinlatch_base::{ModelId, TeamId, Tokens, WindowId, derive_schema, invariant};
use catkinlatch_state::window::{Count, Figure};
use std::collections::{BTreeMap, BTreeSet};

derive_schema! {
    /// The usage of one request or sample.
    pub struct Record {
        /// The team that the request or sample ran for.
        pub team: TeamId,
        /// The model or service that served it.
        pub model: ModelId,
        /// Tokens of the prompt.
        pub prompt_tokens: Tokens,
        /// Tokens generated.
        pub completion_tokens: Tokens,
        /// Time on targets, in milliseconds.
        pub target_ms: u64,
    }
}

/// Identifies one counter of a window.
type Key = (TeamId, ModelId);

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
/// meter.close(WindowId::new(7));
/// assert_eq!(meter.add(WindowId::new(7), &record), WindowId::new(8));
/// assert_eq!(meter.figures(WindowId::new(7))[0].completion_tokens, Tokens::new(5));
/// ```
#[derive(Debug, Default)]
pub struct Meter {
    windows: BTreeMap<WindowId, BTreeMap<Key, Figure>>,
    closed: Option<WindowId>,
    changed: BTreeSet<(WindowId, Key)>,
    additions: u64,
}

impl Meter {
    /// Creates a meter without counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request or sample, and returns the window in which it was counted.
    ///
    /// If `window` is already closed, that is the first open window.
    pub fn add(&mut self, window: WindowId, record: &Record) -> WindowId {
        let window = self.closed.map_or(window, |closed| window.max(closed.next()));
        invariant!(
            "no usage goes into a window that the node has spoken for",
            Some(window) > self.closed,
            "window {window} is closed"
        );
        let key = (record.team.clone(), record.model.clone());
        let zero = || Figure::zero(record.team.clone(), record.model.clone());
        let figure =
            self.windows.entry(window).or_default().entry(key.clone()).or_insert_with(zero);
        figure.requests += 1;
        figure.prompt_tokens += record.prompt_tokens;
        figure.completion_tokens += record.completion_tokens;
        figure.target_ms += record.target_ms;
        self.changed.insert((window, key));
        self.additions += 1;
        window
    }

    /// Returns how many requests and samples were counted since the meter was created.
    pub fn additions(&self) -> u64 {
        self.additions
    }

    /// Closes a window and all earlier ones. Later usage is counted in the first open window.
    pub fn close(&mut self, through: WindowId) {
        self.closed = self.closed.max(Some(through));
    }

    /// Returns the figures of a window, sorted by team and model.
    pub fn figures(&self, window: WindowId) -> Vec<Figure> {
        self.windows.get(&window).map_or_else(Vec::new, |w| w.values().cloned().collect())
    }

    /// Returns the counters of all retained windows up to and including `through`.
    pub fn counts(&self, through: WindowId) -> Vec<Count> {
        let windows = self.windows.range(..=through).map(|(window, _)| *window);
        windows.map(|window| Count { window, figures: self.figures(window) }).collect()
    }

    /// Returns the counters of all retained windows.
    pub fn all(&self) -> Vec<Count> {
        self.counts(WindowId::new(u64::MAX))
    }

    /// Returns the counters that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Count> {
        let mut counts: Vec<Count> = Vec::new();
        for (window, key) in std::mem::take(&mut self.changed) {
            let Some(figure) = self.windows.get(&window).and_then(|w| w.get(&key)) else {
                continue;
            };
            match counts.last_mut().filter(|count| count.window == window) {
                Some(count) => count.figures.push(figure.clone()),
                None => counts.push(Count { window, figures: vec![figure.clone()] }),
            }
        }
        counts
    }

    /// Drops the windows up to and including `through`, whose usage is accounted for.
    pub fn prune(&mut self, through: WindowId) {
        self.windows.retain(|window, _| *window > through);
        self.changed.retain(|(window, _)| *window > through);
    }
}
