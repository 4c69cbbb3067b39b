//! Claims that make a non-idempotent request with an `Idempotency-Key` run at most once.

use catkinlatch_base::{Incarnation, TeamId, derive_key, derive_value};
use std::collections::BTreeMap;

derive_key! {
    /// What a claim stands under: the team and its `Idempotency-Key`.
    pub struct Name {
        /// The team that sent the request.
        pub team: TeamId,
        /// The value of the header.
        pub key: String,
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
        /// Nobody will ever know whether the request ran.
        Unknown,
    }
}

derive_value! {
    /// One claim.
    pub struct Claim {
        /// The digest of the request, so that a reuse with other content is refused.
        pub digest: [u8; 32],
        /// The start of the node that dispatches the request.
        pub owner: Incarnation,
        /// When the claim was opened, in milliseconds since the Unix epoch.
        pub opened_ms: u64,
        /// Where it stands.
        pub stage: Stage,
    }
}

derive_value! {
    /// A change of the claims.
    pub enum Change {
        /// Opens a claim before dispatch.
        Open {
            /// What it stands under.
            name: Name,
            /// The claim.
            claim: Claim,
        },
        /// Ends a claim.
        Finish {
            /// What it stands under.
            name: Name,
            /// The start of the node that dispatched the request.
            owner: Incarnation,
            /// How it ended.
            stage: Stage,
        },
        /// Withdraws a claim whose request was not sent.
        Release {
            /// What it stands under.
            name: Name,
            /// The start of the node that opened the claim.
            owner: Incarnation,
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
        /// The change was made.
        Done,
        /// The claim is not the proposer's.
        NotOwner,
    }
}

derive_value! {
    /// All claims.
    #[derive(Default)]
    pub struct Claims {
        claims: BTreeMap<Name, Claim>,
    }
}

impl Claims {
    /// Returns the claim under `name`.
    pub fn get(&self, name: &Name) -> Option<&Claim> {
        self.claims.get(name)
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Open { name, claim } => self.open(name, claim),
            Change::Finish { name, owner, stage } => self.finish(name, *owner, stage),
            Change::Release { name, owner } => self.release(name, *owner),
        }
    }

    fn open(&mut self, name: &Name, claim: &Claim) -> Reply {
        if let Some(earlier) = self.claims.get(name) {
            return Reply::Exists(earlier.clone());
        }
        self.claims.insert(name.clone(), claim.clone());
        Reply::Opened
    }

    fn finish(&mut self, name: &Name, owner: Incarnation, stage: &Stage) -> Reply {
        match self.claims.get_mut(name) {
            Some(claim) if claim.owner == owner => {
                claim.stage = stage.clone();
                Reply::Done
            }
            Some(_) | None => Reply::NotOwner,
        }
    }

    fn release(&mut self, name: &Name, owner: Incarnation) -> Reply {
        match self.claims.get(name) {
            Some(claim) if claim.owner == owner && claim.stage == Stage::Running => {
                self.claims.remove(name);
                Reply::Done
            }
            Some(_) | None => Reply::NotOwner,
        }
    }
}
