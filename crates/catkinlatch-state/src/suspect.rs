//! Requests that were under way on targets that crashed.

use catkinlatch_base::{derive_key, derive_value};
use std::collections::BTreeMap;

/// After how many crashes a request is refused on every node.
pub const MAX_CRASHES: u32 = 2;

derive_key! {
    /// Identifies a request by its team, route and body.
    #[derive(Copy)]
    pub struct Fingerprint([u8; 16]);
}

impl Fingerprint {
    /// Wraps the first bytes of a digest.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

derive_value! {
    /// A request that may crash targets.
    #[derive(Eq)]
    pub struct Suspect {
        /// How many targets crashed while it ran.
        pub crashes: u32,
        /// When it last ran on a target that crashed, in milliseconds since the Unix epoch.
        pub last_ms: u64,
    }
}

derive_value! {
    /// A change of the suspects.
    pub enum Change {
        /// A target crashed while these requests ran on it.
        Crashed {
            /// The requests.
            fingerprints: Vec<Fingerprint>,
            /// When, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// A request succeeded, expired, or was cleared by an operator.
        Clear {
            /// The request.
            fingerprint: Fingerprint,
        },
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The change was made.
        Done,
    }
}

derive_value! {
    /// All suspects.
    #[derive(Default)]
    pub struct Suspects {
        suspects: BTreeMap<Fingerprint, Suspect>,
    }
}

impl Suspects {
    /// Returns the suspect with this fingerprint.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Suspect> {
        self.suspects.get(fingerprint)
    }

    /// Returns all suspects.
    pub fn list(&self) -> &BTreeMap<Fingerprint, Suspect> {
        &self.suspects
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Crashed { fingerprints, at_ms } => {
                for fingerprint in fingerprints {
                    self.record(*fingerprint, *at_ms);
                }
            }
            Change::Clear { fingerprint } => {
                self.suspects.remove(fingerprint);
            }
        }
        Reply::Done
    }

    fn record(&mut self, fingerprint: Fingerprint, at_ms: u64) {
        let suspect =
            self.suspects.entry(fingerprint).or_insert(Suspect { crashes: 0, last_ms: at_ms });
        suspect.crashes += 1;
        suspect.last_ms = at_ms;
    }
}
