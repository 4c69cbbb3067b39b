//! Amounts of money.

use derive_more::{Add, AddAssign, Display, Sub, Sum};
use std::time::Duration;

catkinlatch_base::derive_key! {
    /// An amount of money in millionths of the platform's currency.
    #[derive(Copy, Default, Display, Add, AddAssign, Sub, Sum)]
    pub struct Money(u64);
}

impl Money {
    /// Creates an amount from millionths of the currency.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the amount in millionths of the currency.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the cost of `time` if this amount is the price per hour, rounded down.
    pub fn cost_of(self, time: Duration) -> Self {
        const HOUR_MS: u128 = 3_600_000;
        let micros = u128::from(self.0) * time.as_millis() / HOUR_MS;
        Self(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
