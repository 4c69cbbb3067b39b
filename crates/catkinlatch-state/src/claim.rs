//! Claims that make a non-idempotent request with an `Idempotency-Key` run at most once.

mod change;
mod table;

pub use self::{
    change::{Change, Reply},
    table::Claims,
};

use catkinlatch_base::{Incarnation, TeamId, derive_key, derive_value};

/// The most claims that are kept at one time.
pub const MAX_CLAIMS: usize = 20_000;

/// The longest answer that is kept for resends, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The most bytes of answers that are kept in all.
pub const MAX_KEPT_BYTES: usize = 16 << 20;

/// How long a claim is kept after it was opened, in milliseconds.
pub const KEEP_MS: u64 = 3_600_000;

/// How long after its deadline a running claim's owner is taken to be gone, in milliseconds.
pub const OVERDUE_MS: u64 = 5_000;

derive_key! {
    /// What a claim stands under: the team and its `Idempotency-Key`.
    pub struct Name {
        /// The team that sent the request.
        pub team: TeamId,
        /// The value of the header.
        pub key: String,
    }
}

derive_key! {
    /// Identifies one attempt to open a claim.
    ///
    /// A node draws a new number for each attempt, so that a command that is applied twice is told
    /// from another attempt of the same node.
    #[derive(Copy)]
    pub struct Owner {
        /// The start of the node that dispatches the request.
        pub node: Incarnation,
        /// The attempt.
        pub attempt: u64,
    }
}

derive_value! {
    /// An answer that is kept for resends.
    pub struct Answer {
        /// The HTTP status.
        pub status: u16,
        /// The value of the `content-type` header.
        pub content_type: String,
        /// The body.
        pub body: bytes::Bytes,
    }
}

derive_value! {
    /// Where a claim stands.
    pub enum Stage {
        /// The request may be running.
        Running,
        /// The request ran and was answered.
        Answered(Answer),
        /// The request ran and was answered, but the answer was too long to keep.
        Dropped,
        /// Nobody knows whether the request ran.
        Unknown,
    }
}

derive_value! {
    /// One claim.
    pub struct Claim {
        /// The digest of the request, so that a reuse with other content is refused.
        pub digest: [u8; 32],
        /// Who dispatches the request.
        pub owner: Owner,
        /// When the claim was opened, in milliseconds since the Unix epoch.
        pub opened_ms: u64,
        /// By when the owner ends the request, in milliseconds since the Unix epoch.
        pub deadline_ms: u64,
        /// Where it stands.
        pub stage: Stage,
    }
}
