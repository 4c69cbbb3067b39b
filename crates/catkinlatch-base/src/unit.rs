//! Sizes and rates with their units.

use derive_more::{Add, AddAssign, Display, FromStr, Sub, Sum};

crate::derive_key! {
    /// A number of model tokens.
    #[derive(Copy, Default, Display, FromStr, Add, AddAssign, Sub, Sum)]
    pub struct Tokens(u64);
}

impl Tokens {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

crate::derive_schema! {
    /// A share of a whole.
    #[derive(Copy, Default, PartialOrd, Display, FromStr)]
    pub struct Ratio(f64);
}

impl Ratio {
    /// Wraps a share.
    pub const fn new(share: f64) -> Self {
        Self(share)
    }

    /// Returns the share.
    pub const fn get(self) -> f64 {
        self.0
    }
}
