//! The order in which samples run and groups are delivered.

use catkinlatch_base::derive_value;

derive_value! {
    /// The order in which samples run and groups are delivered.
    #[derive(Copy, Eq)]
    pub enum Order {
        /// Samples run and groups are delivered in the order in which the groups were admitted.
        Arrival,
        /// The samples of a batch expected to be longest run first, and any complete groups are
        /// delivered.
        LongestFirst,
    }
}
