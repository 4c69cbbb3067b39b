//! Changes to the suspects and their results.

use super::{Fingerprint, Trial};
use catkinlatch_base::{BootId, Incarnation, derive_value};

derive_value! {
    /// A change to the suspects.
    pub enum Change {
        /// Records that a target crashed while these requests ran on it.
        Crashed {
            /// Fingerprints of the requests that ran on the target.
            fingerprints: Vec<Fingerprint>,
            /// Boot of the target; a crash that is reported more than once is counted once.
            boot: BootId,
            /// Time of the crash, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// Retracts a crash: the target is still running as the same process.
        Survived {
            /// Boot of the target.
            boot: BootId,
        },
        /// Requests to run a suspect alone on a target.
        StartTrial {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// Run to start.
            trial: Trial,
            /// The current time in milliseconds since the Unix epoch.
            now_ms: u64,
        },
        /// Records that a run of a suspect ended without a crash and without success.
        EndTrial {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// Incarnation of the node that dispatched the run.
            node: Incarnation,
        },
        /// Removes a suspect because the request succeeded or an operator cleared it.
        Clear {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
        },
        /// Removes suspects whose last crash is older than [`RETENTION_MS`](super::RETENTION_MS).
        Expire {
            /// The current time in milliseconds since the Unix epoch.
            now_ms: u64,
        },
    }
}

derive_value! {
    /// The result of a change.
    pub enum Reply {
        /// The change was applied.
        Done,
        /// The run was recorded and may start.
        Granted,
        /// The request is not a suspect.
        NotSuspect,
        /// The suspect or the target already has a run in flight.
        Busy,
        /// The suspect reached [`MAX_CRASHES`](super::MAX_CRASHES) and is not run again.
        Refused,
    }
}
