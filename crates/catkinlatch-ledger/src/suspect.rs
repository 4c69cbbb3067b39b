//! What hosts tell each other of requests that may crash targets.
//!
//! Designed for requests that come again by any host while others run beside them.

use catkinlatch_base::{BootId, Incarnation, TargetId, derive_value};
use catkinlatch_state::suspect::{self, Fingerprint, Reply, Suspects, Trial};

derive_value! {
    /// A change of the suspects that a host reports or asks for.
    #[derive(Eq)]
    pub enum Change {
        /// The connection to a target broke under a request.
        Crashed {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// The start of the target.
            boot: BootId,
            /// Whether the request ran as a suspect, alone among suspects.
            ran_alone: bool,
        },
        /// A target did not answer a request in time. It has crashed if another start takes its
        /// place; until then, this tells nothing.
        Silent {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// The start of the target.
            boot: BootId,
            /// Whether the request ran as a suspect, alone among suspects.
            ran_alone: bool,
        },
        /// Asks to run a suspect alone on a target.
        StartTrial {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// The target.
            target: TargetId,
            /// The process that runs it.
            process: Incarnation,
            /// The time after which the run counts as ended, in milliseconds.
            for_ms: u64,
        },
        /// The run of a suspect ended in a way that tells nothing about it.
        EndTrial {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// The process that ran it.
            process: Incarnation,
        },
        /// A target answered a request that was sent after a connection to it broke.
        Survived {
            /// The start of the target.
            boot: BootId,
        },
        /// A target answered the suspect.
        Clear {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
        },
    }
}

impl Change {
    /// Returns whether both report the same request and the same start of a target.
    pub fn is_same_crash(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::Crashed { fingerprint, boot, .. },
                Self::Crashed { fingerprint: other, boot: other_boot, .. },
            ) => fingerprint == other && boot == other_boot,
            _ => false,
        }
    }

    /// Applies the change at a time in milliseconds since the Unix epoch, by the clock of the host
    /// that holds the list.
    pub fn apply(&self, suspects: &mut Suspects, wall_ms: u64) -> Reply {
        let change = match self.clone() {
            Self::Crashed { fingerprint, boot, ran_alone } => {
                if !suspects.counts_crash(&fingerprint, ran_alone) {
                    return Reply::Done;
                }
                suspect::Change::Crashed { fingerprints: vec![fingerprint], boot, at_ms: wall_ms }
            }
            Self::Silent { .. } => return Reply::Done,
            Self::StartTrial { fingerprint, target, process, for_ms } => {
                let trial = Trial { target, node: process, until_ms: wall_ms + for_ms };
                suspect::Change::StartTrial { fingerprint, trial, now_ms: wall_ms }
            }
            Self::EndTrial { fingerprint, process } => {
                suspect::Change::EndTrial { fingerprint, node: process }
            }
            Self::Survived { boot } => suspect::Change::Survived { boot },
            Self::Clear { fingerprint } => suspect::Change::Clear { fingerprint },
        };
        suspects.apply(&change)
    }
}
