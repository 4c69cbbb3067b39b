//! Changes to the claims and their results.

use super::{Claim, Key, Owner, Stage};
use catkinlatch_base::{Incarnation, derive_value};

derive_value! {
    /// A change to the claims.
    pub enum Change {
        /// Opens a claim before the request is dispatched.
        Open {
            /// Key of the claim.
            name: Key,
            /// Claim to open; its stage is set to [`Stage::Running`].
            claim: Claim,
            /// Time at which the caller first sent the request, in milliseconds since the Unix
            /// epoch.
            sent_ms: u64,
        },
        /// Records how the request of a claim ended.
        Finish {
            /// Key of the claim.
            name: Key,
            /// The attempt that dispatched the request.
            owner: Owner,
            /// Final stage; [`Stage::Running`] is recorded as [`Stage::Unknown`].
            stage: Stage,
        },
        /// Removes a running claim whose request was not sent.
        Release {
            /// Key of the claim.
            name: Key,
            /// The attempt that opened the claim.
            owner: Owner,
        },
        /// Marks the running claims of a node that is gone as [`Stage::Unknown`].
        Orphan {
            /// Incarnation of the node.
            node: Incarnation,
        },
        /// Marks overdue claims as [`Stage::Unknown`] and removes ended claims past their
        /// retention.
        Expire {
            /// The current time in milliseconds since the Unix epoch.
            now_ms: u64,
        },
    }
}

derive_value! {
    /// The result of a change.
    pub enum Reply {
        /// The proposer owns the claim and may dispatch the request.
        Opened,
        /// A claim with this key already exists.
        Exists(Claim),
        /// There are already [`MAX_CLAIMS`](super::MAX_CLAIMS) claims.
        Full,
        /// The request is so old that its claim may have been removed.
        Expired,
        /// The change was applied or had no effect.
        Done,
        /// The claim does not exist or belongs to another attempt, or is no longer running if it
        /// was to be released.
        NotOwner,
    }
}
