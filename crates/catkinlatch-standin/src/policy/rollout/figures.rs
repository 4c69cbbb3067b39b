//! What a run of the simulation measured.

use derive_more::Display;
use std::time::Duration;

/// What a run of the simulation measured.
#[derive(Clone, Debug, Default, PartialEq, Display)]
#[display(
    "idle {:5.2}%  staleness mean {:.2} p99 {} max {}  batches {}  samples {}  redone {}  \
     generated twice {:.1}%",
    idle_percent,
    staleness_mean,
    staleness_p99,
    staleness_max,
    batches,
    samples,
    redone,
    waste_percent
)]
pub struct Figures {
    /// The share of time that trainers wait for a batch, the first one not counted.
    pub idle_percent: f64,
    /// By how many versions a delivered sample lies behind the newest, on average.
    pub staleness_mean: f64,
    /// The same for all but one sample in a hundred.
    pub staleness_p99: u64,
    /// The same at most.
    pub staleness_max: u64,
    /// How many batches were delivered.
    pub batches: u64,
    /// How many samples were delivered.
    pub samples: u64,
    /// How many samples were dropped, as too old or without evidence.
    pub redone: u64,
    /// Tokens that were generated and not delivered, against those delivered.
    pub waste_percent: f64,
}

/// Collects what is measured.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    ages: Vec<u64>,
    batches: u64,
    /// How many samples were dropped.
    pub redone: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens delivered.
    pub delivered: u64,
    /// How long trainers waited.
    pub idle: Duration,
    /// How long trainers were watched.
    pub watched: Duration,
}

impl Collector {
    /// Records a batch by the ages of its samples, in versions.
    pub fn batch(&mut self, ages: impl Iterator<Item = u64>) {
        self.batches += 1;
        self.ages.extend(ages);
    }

    /// Returns the figures.
    pub fn figures(mut self) -> Figures {
        self.ages.sort_unstable();
        let samples = self.ages.len();
        let sum: u64 = self.ages.iter().sum();
        let p99 = self.ages.get(samples * 99 / 100).copied().unwrap_or_default();
        let waste = self.generated.saturating_sub(self.delivered) as f64;
        Figures {
            idle_percent: 100.0 * self.idle.as_secs_f64() / self.watched.as_secs_f64().max(1.0),
            staleness_mean: sum as f64 / samples.max(1) as f64,
            staleness_p99: p99,
            staleness_max: self.ages.last().copied().unwrap_or_default(),
            batches: self.batches,
            samples: samples as u64,
            redone: self.redone,
            waste_percent: 100.0 * waste / self.delivered.max(1) as f64,
        }
    }
}
