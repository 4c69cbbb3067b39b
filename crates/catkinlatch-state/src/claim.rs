//! Claims on requests, which make a non-idempotent request run at most once.
//!
//! A request with an `Idempotency-Key` header is dispatched only by the node that opened its claim.
//! A resend gets the retained answer.

mod change;
mod table;

pub use self::{
    change::{Change, Reply},
    table::Claims,
};

use catkinlatch_base::{Incarnation, TeamId, derive_key, derive_value};

/// Maximum number of claims.
pub const MAX_CLAIMS: usize = 20_000;

/// Maximum size of an answer body that is retained for resends, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Maximum total size of the retained answer bodies, in bytes.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 16 << 20;

/// How long a claim is retained after it was opened, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;

/// How long after its deadline a running claim is overdue, in milliseconds.
///
/// The owner of an overdue claim is presumed gone.
pub const OVERDUE_GRACE_MS: u64 = 5_000;

derive_key! {
    /// Identifies a claim: a team and an `Idempotency-Key` that it chose.
    pub struct Key {
        /// Team that sent the request.
        pub team: TeamId,
        /// Value of the `Idempotency-Key` header.
        pub key: String,
    }
}

derive_key! {
    /// Identifies one attempt to open a claim.
    ///
    /// A node uses a new attempt number each time, which distinguishes a command that is applied
    /// twice from another attempt by the same node.
    #[derive(Copy)]
    pub struct Owner {
        /// Incarnation of the node that dispatches the request.
        pub node: Incarnation,
        /// Number of the attempt, drawn by the node.
        pub attempt: u64,
    }
}

derive_value! {
    /// An HTTP response that is retained for resends.
    pub struct Answer {
        /// HTTP status code.
        pub status: u16,
        /// Value of the `content-type` header.
        pub content_type: String,
        /// Complete response body.
        pub body: bytes::Bytes,
    }
}

derive_value! {
    /// The progress of a claim.
    pub enum Stage {
        /// The request may be in flight.
        Running,
        /// The request completed and its answer is retained.
        Answered(Answer),
        /// The request completed, but its answer was too long to retain or was evicted.
        Dropped,
        /// It is unknown whether the request ran.
        Unknown,
    }
}

derive_value! {
    /// A claim on one request.
    pub struct Claim {
        /// Digest of the request; a resend with a different digest is refused.
        pub digest: [u8; 32],
        /// The attempt that opened the claim and dispatches the request.
        pub owner: Owner,
        /// When the claim was opened, in milliseconds since the Unix epoch.
        pub opened_ms: u64,
        /// Deadline by which the owner ends the request, in milliseconds since the Unix epoch.
        pub deadline_ms: u64,
        /// Progress of the request.
        pub stage: Stage,
    }
}
