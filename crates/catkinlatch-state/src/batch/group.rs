//! Admitted groups of samples.

use catkinlatch_base::{Epoch, GroupId, derive_value};

derive_value! {
    /// A group of samples that a coordinator admitted.
    pub struct Group {
        /// Chosen by the trainer.
        pub id: GroupId,
        /// Number of samples in the group.
        pub samples: u32,
        /// The lowest epoch whose samples may be delivered.
        ///
        /// Raised when a batch that contains the group is lost, so that no sample of the lost batch
        /// is delivered again.
        pub floor: Epoch,
    }
}
