//! Metrics of a simulated run.

use derive_more::Display;
use std::time::Duration;

/// Metrics of a simulated run.
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
    discarded_samples,
    waste_percent
)]
pub struct Metrics {
    /// Share of time that trainers wait for a batch, without the wait for the first one.
    pub idle_percent: f64,
    /// Mean staleness of delivered samples, in versions behind the newest.
    pub staleness_mean: f64,
    /// 99th percentile of staleness, in versions.
    pub staleness_p99: u64,
    /// Maximum staleness, in versions.
    pub staleness_max: u64,
    /// Number of delivered batches.
    pub batches: u64,
    /// Number of delivered samples.
    pub samples: u64,
    /// Number of samples that were discarded as too old or without evidence.
    pub discarded_samples: u64,
    /// Tokens that were generated but not delivered, relative to the delivered ones.
    pub waste_percent: f64,
}

/// Collects the counts from which [`Metrics`] are computed.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    ages: Vec<u64>,
    batches: u64,
    /// Number of discarded samples.
    pub discarded_samples: u64,
    /// Number of generated tokens.
    pub generated_tokens: u64,
    /// Number of delivered tokens.
    pub delivered_tokens: u64,
    /// Time that trainers waited for a batch, summed over trainers.
    pub idle: Duration,
    /// Time over which idle time was measured, summed over trainers.
    pub observed: Duration,
}

impl Collector {
    /// Records a delivered batch by the ages of its samples, in versions.
    pub fn record_batch(&mut self, ages: impl Iterator<Item = u64>) {
        self.batches += 1;
        self.ages.extend(ages);
    }

    /// Computes the metrics.
    pub fn into_metrics(mut self) -> Metrics {
        self.ages.sort_unstable();
        let samples = self.ages.len();
        let sum: u64 = self.ages.iter().sum();
        let p99 = self.ages.get(samples * 99 / 100).copied().unwrap_or_default();
        let waste = self.generated_tokens.saturating_sub(self.delivered_tokens) as f64;
        Metrics {
            idle_percent: 100.0 * self.idle.as_secs_f64() / self.observed.as_secs_f64().max(1.0),
            staleness_mean: sum as f64 / samples.max(1) as f64,
            staleness_p99: p99,
            staleness_max: self.ages.last().copied().unwrap_or_default(),
            batches: self.batches,
            samples: samples as u64,
            discarded_samples: self.discarded_samples,
            waste_percent: 100.0 * waste / self.delivered_tokens.max(1) as f64,
        }
    }
}
