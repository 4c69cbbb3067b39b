//! Changes of the claims.

use super::{Claim, Name, Owner, Stage};
use catkinlatch_base::{Incarnation, derive_value};

derive_value! {
    /// A change of the claims.
    pub enum Change {
        /// Opens a claim before dispatch.
        Open {
            /// What it stands under.
            name: Name,
            /// The claim.
            claim: Claim,
            /// When the caller first sent the request, in milliseconds since the Unix epoch.
            sent_ms: u64,
        },
        /// Ends a claim.
        Finish {
            /// What it stands under.
            name: Name,
            /// Who dispatched the request.
            owner: Owner,
            /// How it ended.
            stage: Stage,
        },
        /// Withdraws a claim whose request was not sent.
        Release {
            /// What it stands under.
            name: Name,
            /// Who opened the claim.
            owner: Owner,
        },
        /// Marks the running claims of a node that is gone as unknown.
        Orphan {
            /// The start of the node.
            node: Incarnation,
        },
        /// Marks overdue claims as unknown and drops old ones.
        Expire {
            /// The present time in milliseconds since the Unix epoch.
            now_ms: u64,
        },
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The proposer holds the claim and may dispatch.
        Opened,
        /// The claim stood before.
        Exists(Claim),
        /// As many claims as can be kept are open.
        Full,
        /// The request is so old that its claim may have been dropped.
        Expired,
        /// The change was made.
        Done,
        /// The claim is not the proposer's.
        NotOwner,
    }
}
