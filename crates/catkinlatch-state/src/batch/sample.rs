//! Batches as committed, and the samples that they name.

use catkinlatch_base::{BatchNumber, Epoch, GroupNumber, HostId, Version, derive_value};

derive_value! {
    /// One sample of a batch.
    pub struct Sample {
        /// The group that it belongs to.
        pub group: GroupNumber,
        /// Its place in the group.
        pub index: u32,
        /// The epoch under which it was started.
        pub epoch: Epoch,
        /// Counts the tries of this place in the group under that epoch.
        pub attempt: u32,
        /// The oldest version that produced a token of it.
        pub oldest: Version,
        /// The newest version that produced a token of it.
        pub newest: Version,
    }
}

derive_value! {
    /// A batch as committed.
    pub struct Batch {
        /// Its number.
        pub number: BatchNumber,
        /// What it holds, in order.
        pub samples: Vec<Sample>,
        /// The hosts that hold the contents, the coordinator first.
        pub holders: Vec<HostId>,
    }
}
