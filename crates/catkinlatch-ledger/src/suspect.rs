//! What hosts tell each other of requests that may crash targets.
//!
//! Designed for requests that come again by any host while others run beside them.

use catkinlatch_base::{BootId, Incarnation, TargetId, derive_value};
use catkinlatch_state::suspect::{self, Fingerprint, Reply, Suspects, Trial};
use std::collections::BTreeMap;

/// Times after its last crash at which a refused request may run alone once more, in milliseconds;
/// each counts once. A request whose targets ended for another reason comes back so, and one that
/// crashes them ends two more.
const PAROLES_MS: [u64; 2] = [10_000, 60_000];

/// The runs that refused requests were given once more.
#[derive(Clone, Debug, Default)]
pub struct Paroles {
    granted: BTreeMap<Fingerprint, usize>,
}

impl Paroles {
    /// Returns whether a refused request may run alone once more, and counts that.
    pub fn grant(&mut self, suspects: &Suspects, fingerprint: &Fingerprint, wall_ms: u64) -> bool {
        self.granted.retain(|fingerprint, _| suspects.get(fingerprint).is_some());
        let Some(suspect) = suspects.get(fingerprint) else { return false };
        let granted = self.granted.entry(*fingerprint).or_default();
        let pause_ms = PAROLES_MS.get(*granted);
        let is_due = pause_ms.is_some_and(|pause_ms| wall_ms >= suspect.last_ms + pause_ms);
        *granted += usize::from(is_due);
        is_due
    }

    /// Returns whether a parole may be due, so that it is worth to ask for one.
    pub fn may_be_due(suspects: &Suspects, fingerprint: &Fingerprint, wall_ms: u64) -> bool {
        suspects.get(fingerprint).is_some_and(|suspect| wall_ms >= suspect.last_ms + PAROLES_MS[0])
    }
}

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
