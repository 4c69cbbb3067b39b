//! Groups that were admitted and not delivered yet.

use catkinlatch_base::{Epoch, GroupId, derive_value};

derive_value! {
    /// A group that was admitted and not delivered yet.
    pub struct Group {
        /// The id that the trainer gave it.
        pub id: GroupId,
        /// How many samples it has.
        pub samples: u32,
        /// The lowest epoch whose samples may be delivered.
        ///
        /// It rises when a batch that held the group is lost, so that no sample of the lost batch
        /// comes again.
        pub floor: Epoch,
    }
}
