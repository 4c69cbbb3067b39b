//! The coordinator of a trainer's rollouts.

use catkinlatch_base::{Epoch, HostId, Incarnation, derive_value};

derive_value! {
    /// The node that coordinates a trainer's rollouts.
    pub struct Coordinator {
        /// Incremented by each assignment; only the coordinator of the current epoch may admit
        /// groups and commit batches.
        pub epoch: Epoch,
        /// Host that the node runs on.
        pub host: HostId,
        /// Incarnation of the node process.
        pub incarnation: Incarnation,
    }
}
