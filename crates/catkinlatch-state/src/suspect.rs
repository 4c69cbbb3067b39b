//! Requests that were in flight on targets when they crashed.
//!
//! Such a suspect is retried alone on a target and refused once it has crashed too many.

mod change;
mod table;
mod watch;

pub use self::{
    change::{Change, Reply},
    table::Suspects,
    watch::{Disconnect, Watch},
};

use catkinlatch_base::{BootId, Incarnation, TargetId, derive_key, derive_value};
use sha2::{Digest, Sha256};
use std::fmt;

/// Number of crashes after which a request is refused on every node.
pub const MAX_CRASHES: usize = 2;

/// Maximum number of suspects. Beyond it, the one with the oldest last crash is evicted; suspects
/// that are refused are evicted last.
pub const MAX_SUSPECTS: usize = 4_096;

/// How long a suspect is retained after its last crash, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;

derive_key! {
    /// Identifies a request by its team, route and body.
    #[derive(Copy)]
    pub struct Fingerprint([u8; 16]);
}

impl Fingerprint {
    /// Creates a fingerprint from the first 16 bytes of a digest.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the head of a SHA-256 digest of a request's team, route, method and path, which are
    /// `head`, and its body.
    pub fn of_request(head: [&str; 4], body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in head {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        let digest: [u8; 32] = hash.finalize().into();
        let (head, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
        Self(*head)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

derive_value! {
    /// A run of a suspect; each suspect has at most one in flight.
    #[derive(Eq)]
    pub struct Trial {
        /// Target that runs the suspect; other requests avoid it during the run if another target
        /// can serve them.
        pub target: TargetId,
        /// Incarnation of the node that dispatched the run.
        pub node: Incarnation,
        /// Time at which the run counts as ended, in milliseconds since the Unix epoch.
        pub until_ms: u64,
    }
}

derive_value! {
    /// A request that may crash targets.
    #[derive(Eq)]
    pub struct Suspect {
        /// Boots of the targets that crashed while the request ran, at most [`MAX_CRASHES`].
        pub crashes: Vec<BootId>,
        /// Time of the last crash that was counted, in milliseconds since the Unix epoch.
        pub last_ms: u64,
        /// Run in flight, if any; a run past its end no longer counts.
        pub trial: Option<Trial>,
    }
}
