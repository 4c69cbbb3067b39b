//! Clock of a host, which runs at a rate of its own.

use catkinlatch_base::Instant;

pub const SLOWEST: f64 = 0.9;
pub const FASTEST: f64 = 1.1;

#[derive(Clone, Debug)]
pub struct Clock {
    true_base: u64,
    local_base: u64,
    rate: f64,
}

impl Clock {
    pub fn new(now: u64, random: &mut fastrand::Rng) -> Self {
        let local_base = random.u64(1_000_000_000..100_000_000_000);
        Self { true_base: now, local_base, rate: draw_rate(random) }
    }

    pub fn local(&self, now: u64) -> Instant {
        let passed = (now - self.true_base) as f64 * self.rate;
        Instant::from_nanos(self.local_base + passed as u64)
    }

    /// Converts a local time to true time in nanoseconds, rounded up.
    pub fn true_time(&self, local: Instant) -> u64 {
        let ahead = local.as_nanos().saturating_sub(self.local_base) as f64 / self.rate;
        self.true_base + ahead.ceil() as u64 + 1
    }

    pub fn set_rate(&mut self, now: u64, rate: f64) {
        self.local_base = self.local(now).as_nanos();
        self.true_base = now;
        self.rate = rate;
    }
}

/// Draws a clock rate within 10% of the true one. Half of the draws are one of the two extremes.
pub fn draw_rate(random: &mut fastrand::Rng) -> f64 {
    match random.u8(..4) {
        0 => SLOWEST,
        1 => FASTEST,
        _ => 0.9 + 0.2 * random.f64(),
    }
}
