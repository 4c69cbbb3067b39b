//! Changes of the suspects.

use super::{Fingerprint, Trial};
use catkinlatch_base::{BootId, Incarnation, derive_value};

derive_value! {
    /// A change of the suspects.
    pub enum Change {
        /// A target crashed while these requests ran on it.
        Crashed {
            /// The requests.
            fingerprints: Vec<Fingerprint>,
            /// The start of the target, since one crash may be seen more than once.
            boot: BootId,
            /// When, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// A target that was taken to have crashed is the same process still.
        Survived {
            /// The start of the target.
            boot: BootId,
        },
        /// Asks to run a suspect alone on a target.
        Try {
            /// The request.
            fingerprint: Fingerprint,
            /// The run.
            trial: Trial,
            /// The present time in milliseconds since the Unix epoch.
            now_ms: u64,
        },
        /// A run of a suspect ended without a crash and without success.
        Return {
            /// The request.
            fingerprint: Fingerprint,
            /// The start of the node that ran it.
            node: Incarnation,
        },
        /// A request succeeded, or was cleared by an operator.
        Clear {
            /// The request.
            fingerprint: Fingerprint,
        },
        /// Drops suspects whose last crash is long ago.
        Expire {
            /// The present time in milliseconds since the Unix epoch.
            now_ms: u64,
        },
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The change was made.
        Done,
        /// The suspect may run now.
        Granted,
        /// The request is no suspect, or no longer.
        Innocent,
        /// The suspect or the target has a run under way.
        Busy,
        /// The suspect crashed too many targets and is not run again.
        Refused,
    }
}
