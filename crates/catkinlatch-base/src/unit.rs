//! Newtypes for quantities: token counts, ratios and rates.

use derive_more::{Add, AddAssign, Display, Error, FromStr, Sub, Sum};
use std::str::FromStr;

/// Thousandths in a whole.
const MILLIS_PER_UNIT: f64 = 1_000.0;

crate::derive_key! {
    /// A number of model tokens.
    #[derive(Copy, Default, Display, FromStr, Add, AddAssign, Sub, Sum)]
    pub struct Tokens(u64);
}

impl Tokens {
    /// Creates a count of `number` tokens.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of tokens.
    pub const fn get(self) -> u64 {
        self.0
    }
}

crate::derive_schema! {
    /// A dimensionless ratio, where 1 is the whole; the range is not checked.
    #[derive(Copy, Default, PartialOrd, Display, FromStr)]
    pub struct Ratio(f64);
}

impl Ratio {
    /// Creates a ratio.
    pub const fn new(share: f64) -> Self {
        Self(share)
    }

    /// Returns the ratio, where 1 is the whole.
    pub const fn get(self) -> f64 {
        self.0
    }
}

crate::derive_key! {
    /// A rate of requests, kept in thousandths of a request a second.
    #[derive(Copy, Default, Display)]
    #[display("{}", self.per_second())]
    pub struct Rate(u64);
}

impl Rate {
    /// Creates a rate of `per_second` requests a second, rounded down; `None` if that is negative or
    /// not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self((per_second * MILLIS_PER_UNIT) as u64))
    }

    /// Returns the number of requests a second.
    pub const fn per_second(self) -> f64 {
        self.0 as f64 / MILLIS_PER_UNIT
    }
}

impl FromStr for Rate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().ok().and_then(Self::new).ok_or(ParseRateError)
    }
}

/// The error for a text that is no rate.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a rate: must be a decimal number of requests a second, at least 0")]
pub struct ParseRateError;
