//! Changes to the batch ledgers and their results.

use super::{Batch, Coordinator, Sample};
use catkinlatch_base::{
    BatchNumber, Epoch, GroupId, GroupNumber, HostId, Incarnation, TrainerId, Version, derive_value,
};

derive_value! {
    /// A group of samples that a trainer requested.
    pub struct Admission {
        /// Chosen by the trainer; used to recognize a group that is posted again.
        pub id: GroupId,
        /// Number of samples in the group.
        pub samples: u32,
    }
}

derive_value! {
    /// A change to one trainer's ledger.
    pub enum Change {
        /// Assigns a coordinator to a trainer and begins the next epoch.
        Assign {
            /// Trainer whose ledger is changed.
            trainer: TrainerId,
            /// Epoch that the proposer observed; the change fails if a later one has begun.
            after: Epoch,
            /// Host of the new coordinator.
            host: HostId,
            /// Incarnation of the node process on that host.
            incarnation: Incarnation,
        },
        /// Admits groups and assigns their numbers.
        Admit {
            /// Trainer whose ledger is changed.
            trainer: TrainerId,
            /// The epoch that the coordinator holds.
            epoch: Epoch,
            /// Groups to admit, numbered in this order.
            groups: Vec<Admission>,
        },
        /// Records a version that the trainer published.
        Publish {
            /// Trainer whose ledger is changed.
            trainer: TrainerId,
            /// The published version.
            version: Version,
        },
        /// Commits the composition of the next batch.
        Commit {
            /// Trainer whose ledger is changed.
            trainer: TrainerId,
            /// The epoch that the coordinator holds.
            epoch: Epoch,
            /// How many versions a sample may lag behind the trainer's newest version.
            max_age_versions: u64,
            /// Samples and holders of the batch.
            batch: Batch,
        },
        /// Records that no holder has the contents of the last batch any more, and opens its groups
        /// again.
        ///
        /// Kept so that logs of earlier builds replay to the same state; [`Change::Lose`] replaces
        /// it, since the trainer may have read the batch.
        Void {
            /// Trainer whose ledger is changed.
            trainer: TrainerId,
            /// The epoch that the coordinator holds.
            epoch: Epoch,
            /// Number of the last batch.
            number: BatchNumber,
        },
        /// Records that no holder has the contents of the last batch any more.
        ///
        /// Its groups stay delivered, since the trainer may have read the batch; a trainer that has
        /// not may post them again.
        Lose {
            /// Trainer whose ledger is changed.
            trainer: TrainerId,
            /// The epoch that the coordinator holds.
            epoch: Epoch,
            /// Number of the last batch.
            number: BatchNumber,
        },
    }
}

impl Change {
    /// Returns the trainer whose ledger is changed.
    pub fn trainer(&self) -> &TrainerId {
        match self {
            Self::Assign { trainer, .. }
            | Self::Admit { trainer, .. }
            | Self::Publish { trainer, .. }
            | Self::Commit { trainer, .. }
            | Self::Void { trainer, .. }
            | Self::Lose { trainer, .. } => trainer,
        }
    }
}

derive_value! {
    /// The result of a change.
    pub enum Reply {
        /// The host was assigned as coordinator for this epoch.
        Assigned(Epoch),
        /// Another assignment was applied first; holds the current coordinator.
        Held(Coordinator),
        /// Numbers of the groups in the order of the request; `None` for a group that was already
        /// delivered.
        Admitted(Vec<Option<GroupNumber>>),
        /// Admission would exceed [`MAX_OPEN_GROUPS`](super::MAX_OPEN_GROUPS); no group was
        /// admitted.
        Full,
        /// The change was applied; holds the trainer's newest published version.
        Published(Version),
        /// The batch was committed.
        Committed,
        /// The batch is recorded as lost and its groups are open again.
        Voided,
        /// The epoch is not the current one; nothing was changed.
        Superseded,
        /// The batch number is not the expected one; nothing was changed.
        WrongNumber {
            /// Number of the next batch.
            next: BatchNumber,
        },
        /// The change was rejected because of these samples; nothing was changed.
        ///
        /// For a commit, they belong to no open group or to an epoch or version out of range. For
        /// [`Change::Void`] and [`Change::Lose`], they were started in the current epoch, whose
        /// coordinator has the contents.
        Rejected(Vec<Sample>),
        /// These groups have missing or duplicate samples; nothing was committed.
        Torn(Vec<GroupNumber>),
        /// The batch is recorded as lost.
        Lost,
    }
}
