//! One team's limits on one node.

use super::{Bucket, Denial};
use catkinlatch_base::{Instant, Ratio, Tokens};

/// A team's rate limits over all nodes together; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rates {
    /// Maximum number of requests that may start per minute.
    pub requests_per_minute: Option<u64>,
    /// Maximum number of tokens that may be used per minute.
    pub tokens_per_minute: Option<Tokens>,
}

/// One team's limits on one node: the node's share of the rates, and the concurrency limit.
#[derive(Clone, Debug)]
pub struct Limit {
    rates: Rates,
    share: Ratio,
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    concurrency: Option<u32>,
    running: u32,
}

impl Limit {
    /// Creates limits with this node's `share` of the rates and unlimited concurrency.
    pub fn new(rates: Rates, share: Ratio, now: Instant) -> Self {
        let scaled = |rate: u64| Bucket::new(rate as f64 * share.get(), now);
        let requests = rates.requests_per_minute.map(scaled);
        let tokens = rates.tokens_per_minute.map(|rate| scaled(rate.get()));
        Self { rates, share, requests, tokens, concurrency: None, running: 0 }
    }

    /// Changes the rates or this node's share of them.
    ///
    /// New rates start with full buckets; a new share keeps the levels, up to the new capacity.
    pub fn update(&mut self, rates: Rates, share: Ratio, now: Instant) {
        if rates != self.rates {
            let (running, concurrency) = (self.running, self.concurrency);
            *self = Self { running, concurrency, ..Self::new(rates, share, now) };
            return;
        }
        self.share = share;
        if let (Some(bucket), Some(rate)) = (&mut self.requests, rates.requests_per_minute) {
            bucket.set_rate(rate as f64 * share.get(), now);
        }
        if let (Some(bucket), Some(rate)) = (&mut self.tokens, rates.tokens_per_minute) {
            bucket.set_rate(rate.get() as f64 * share.get(), now);
        }
    }

    /// Counts a request of this estimated cost against the rates.
    ///
    /// # Errors
    ///
    /// Returns a denial, and counts nothing, if a rate is exceeded.
    pub fn take(&mut self, cost: Tokens, now: Instant) -> Result<(), Denial> {
        if let Some(bucket) = &mut self.requests {
            bucket.take(1.0, now).map_err(|retry_after| Denial::Requests { retry_after })?;
        }
        let Some(bucket) = &mut self.tokens else { return Ok(()) };
        let taken = bucket.take(cost.get() as f64, now);
        if taken.is_err()
            && let Some(requests) = &mut self.requests
        {
            requests.correct(-1.0);
        }
        taken.map_err(|retry_after| Denial::Tokens { retry_after })
    }

    /// Refunds a request that was not run.
    pub fn refund(&mut self, cost: Tokens) {
        if let Some(bucket) = &mut self.requests {
            bucket.correct(-1.0);
        }
        self.correct(cost, Tokens::new(0));
    }

    /// Replaces the estimated cost of a request by its actual cost.
    pub fn correct(&mut self, estimated: Tokens, spent: Tokens) {
        if let Some(bucket) = &mut self.tokens {
            bucket.correct(spent.get() as f64 - estimated.get() as f64);
        }
    }

    /// Sets how many requests may run concurrently on this node; `None` means unlimited.
    pub fn set_concurrency(&mut self, concurrency: Option<u32>) {
        self.concurrency = concurrency;
    }

    /// Returns whether the concurrency limit allows another request.
    pub fn has_room(&self) -> bool {
        self.concurrency.is_none_or(|allowed| self.running < allowed)
    }

    /// Counts a request as running.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// Counts a request as ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }
}
