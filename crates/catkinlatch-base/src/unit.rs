//! Newtypes for quantities: token counts and ratios.

use derive_more::{Add, AddAssign, Display, FromStr, Sub, Sum};

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
