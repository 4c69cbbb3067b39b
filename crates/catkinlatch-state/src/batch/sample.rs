//! Committed batches and the samples that they contain.

use catkinlatch_base::{BatchNumber, Epoch, GroupNumber, HostId, Version, derive_value};

derive_value! {
    /// A sample of a batch, without its contents.
    pub struct Sample {
        /// Group that the sample belongs to.
        pub group: GroupNumber,
        /// Index in the group, from 0.
        pub index: u32,
        /// Epoch in which the sample was started.
        pub epoch: Epoch,
        /// Number of the attempt to generate this sample in that epoch, from 0.
        pub attempt: u32,
        /// Oldest weight version that generated a token of the sample.
        pub oldest: Version,
        /// Newest weight version that generated a token of the sample.
        pub newest: Version,
    }
}

derive_value! {
    /// The committed composition of a batch.
    pub struct Batch {
        /// Increases by one with each batch of a trainer, starting at 1.
        pub number: BatchNumber,
        /// Samples in delivery order.
        pub samples: Vec<Sample>,
        /// Hosts that store the contents, the coordinator first.
        pub holders: Vec<HostId>,
    }
}
