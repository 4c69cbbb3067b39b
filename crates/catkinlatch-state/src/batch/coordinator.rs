//! The node that coordinates a trainer.

use catkinlatch_base::{Epoch, HostId, Incarnation, derive_value};

derive_value! {
    /// Who coordinates a trainer's rollouts.
    pub struct Coordinator {
        /// Counts the assignments; only the newest may admit groups and commit batches.
        pub epoch: Epoch,
        /// The host.
        pub host: HostId,
        /// The start of the host's process.
        pub incarnation: Incarnation,
    }
}
