//! The order in which samples run and groups are delivered.

use catkinlatch_base::derive_value;

derive_value! {
    /// The order in which samples run and groups are delivered.
    #[derive(Copy, Eq)]
    pub enum Order {
        /// Samples run and groups are delivered as they were admitted.
        Arrival,
        /// The longest samples of a batch run first, and whichever groups are whole are delivered.
        LongestFirst,
    }
}
