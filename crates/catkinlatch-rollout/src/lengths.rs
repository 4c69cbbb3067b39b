//! Estimates of how many tokens a sample will have.

use catkinlatch_base::Tokens;
use std::{
    collections::{BTreeMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// How many prompts are remembered.
const PROMPTS: usize = 16_384;

/// The weight of the newest sample in a moving average.
const GAIN: f64 = 0.2;

/// The share of the longest answer that is assumed before any sample has finished.
const FIRST_GUESS: f64 = 0.25;

/// Estimates lengths from the samples of the same prompt, or else from all samples.
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
    /// Records the length of a finished sample.
    pub fn observe(&mut self, prompt: &str, tokens: Tokens) {
        let tokens = tokens.get() as f64;
        self.mean = Some(blend(self.mean, tokens));
        let key = digest(prompt);
        let known = self.prompts.get(&key).copied();
        if known.is_none() {
            self.order.push_back(key);
        }
        self.prompts.insert(key, blend(known, tokens));
        if self.order.len() > PROMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.prompts.remove(&oldest);
        }
    }

    /// Estimates the tokens of a sample that may have at most `max_tokens`.
    pub fn estimate(&self, prompt: &str, max_tokens: u32) -> f64 {
        let most = f64::from(max_tokens);
        let known = self.prompts.get(&digest(prompt)).copied().or(self.mean);
        known.unwrap_or(most * FIRST_GUESS).min(most)
    }
}

/// Moves an average towards a new value.
fn blend(average: Option<f64>, value: f64) -> f64 {
    average.map_or(value, |average| average + GAIN * (value - average))
}

fn digest(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}
