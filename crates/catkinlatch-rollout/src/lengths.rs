//! Estimates of the length of samples, in tokens.

use catkinlatch_base::Tokens;
use std::{
    collections::{BTreeMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Maximum number of prompts whose average length is kept; the oldest are evicted first.
const MAX_PROMPTS: usize = 16_384;

/// Weight of the newest sample in a moving average.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Fraction of the maximum length that is assumed before any sample has finished.
const INITIAL_LENGTH_FRACTION: f64 = 0.25;

/// Moving averages of sample lengths, for each prompt and for all samples.
///
/// ```
/// use catkinlatch_base::Tokens;
/// use catkinlatch_rollout::Lengths;
///
/// let mut lengths = Lengths::default();
/// lengths.observe("describe the crack", Tokens::new(80));
/// assert_eq!(lengths.estimate("describe the crack", 100), 80.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    mean: Option<f64>,
    prompts: BTreeMap<u64, f64>,
    order: VecDeque<u64>,
}

impl Lengths {
    /// Records the number of tokens of a finished sample.
    pub fn observe(&mut self, prompt: &str, tokens: Tokens) {
        let tokens = tokens.get() as f64;
        self.mean = Some(update_average(self.mean, tokens));
        let key = digest(prompt);
        let average = self.prompts.get(&key).copied();
        if average.is_none() {
            self.order.push_back(key);
        }
        self.prompts.insert(key, update_average(average, tokens));
        if self.order.len() > MAX_PROMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.prompts.remove(&oldest);
        }
    }

    /// Estimates the number of tokens of a sample that may have at most `max_tokens`.
    ///
    /// Uses the samples of the same prompt, else all samples, else a fraction of `max_tokens`.
    pub fn estimate(&self, prompt: &str, max_tokens: u32) -> f64 {
        let limit = f64::from(max_tokens);
        let average = self.prompts.get(&digest(prompt)).copied().or(self.mean);
        average.unwrap_or(limit * INITIAL_LENGTH_FRACTION).min(limit)
    }
}

/// Returns the moving average after a new value.
fn update_average(average: Option<f64>, value: f64) -> f64 {
    average.map_or(value, |average| average + SMOOTHING_FACTOR * (value - average))
}

fn digest(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}
