//! Requests that were under way on targets that crashed.

mod change;
mod table;

pub use self::{
    change::{Change, Reply},
    table::Suspects,
};

use catkinlatch_base::{BootId, Incarnation, TargetId, derive_key, derive_value};

/// After how many crashes a request is refused on every node.
pub const MAX_CRASHES: usize = 2;

/// The most suspects that are kept; beyond them the one that crashed a target longest ago goes.
pub const MAX_SUSPECTS: usize = 4_096;

/// How long a suspect is kept after its last crash, in milliseconds.
pub const KEEP_MS: u64 = 3_600_000;

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
    /// The one run of a suspect that may be under way.
    #[derive(Eq)]
    pub struct Trial {
        /// The target, which gets no other work meanwhile where others can take it.
        pub target: TargetId,
        /// The start of the node that runs it.
        pub node: Incarnation,
        /// By when it ends, in milliseconds since the Unix epoch.
        pub until_ms: u64,
    }
}

derive_value! {
    /// A request that may crash targets.
    #[derive(Eq)]
    pub struct Suspect {
        /// The starts of the targets that crashed while it ran, at most [`MAX_CRASHES`].
        pub crashes: Vec<BootId>,
        /// When it last ran on a target that crashed, in milliseconds since the Unix epoch.
        pub last_ms: u64,
        /// Its run, if one is under way.
        pub trial: Option<Trial>,
    }
}
