//! Changes of the ledgers and what became of them.

use super::{Batch, Coordinator, Sample};
use catkinlatch_base::{
    BatchNumber, Epoch, GroupId, GroupNumber, HostId, Incarnation, TrainerId, Version, derive_value,
};

derive_value! {
    /// A group that a trainer posted.
    pub struct Admission {
        /// The id that the trainer gave it.
        pub id: GroupId,
        /// How many samples it has.
        pub samples: u32,
    }
}

derive_value! {
    /// A change of the ledgers.
    pub enum Change {
        /// Assigns a trainer's coordinator under the next epoch.
        Assign {
            /// The trainer.
            trainer: TrainerId,
            /// The epoch that the proposer saw; the change fails if another has begun since.
            after: Epoch,
            /// The host.
            host: HostId,
            /// The start of the host's process.
            incarnation: Incarnation,
        },
        /// Admits groups and numbers them.
        Admit {
            /// The trainer.
            trainer: TrainerId,
            /// The epoch that the coordinator holds.
            epoch: Epoch,
            /// The groups.
            groups: Vec<Admission>,
        },
        /// Records a version that the trainer published.
        Publish {
            /// The trainer.
            trainer: TrainerId,
            /// The version.
            version: Version,
        },
        /// Commits the make-up of the next batch.
        Commit {
            /// The trainer.
            trainer: TrainerId,
            /// The epoch that the coordinator holds.
            epoch: Epoch,
            /// How many versions a sample may lie behind the trainer's newest.
            max_age_versions: u64,
            /// The batch.
            batch: Batch,
        },
        /// Records that the contents of the last batch are lost on all their holders.
        Void {
            /// The trainer.
            trainer: TrainerId,
            /// The epoch that the coordinator holds.
            epoch: Epoch,
            /// The batch.
            number: BatchNumber,
        },
    }
}

impl Change {
    /// Returns the trainer whose ledger changes.
    pub fn trainer(&self) -> &TrainerId {
        match self {
            Self::Assign { trainer, .. }
            | Self::Admit { trainer, .. }
            | Self::Publish { trainer, .. }
            | Self::Commit { trainer, .. }
            | Self::Void { trainer, .. } => trainer,
        }
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The host coordinates under this epoch.
        Assigned(Epoch),
        /// Another assignment came first.
        Held(Coordinator),
        /// The numbers of the groups, in order; none for a group that was delivered before.
        Admitted(Vec<Option<GroupNumber>>),
        /// Too many groups are open; none was admitted.
        Full,
        /// The newest version of the trainer.
        Published(Version),
        /// The batch is committed.
        Committed,
        /// The batch is recorded as lost, and its groups are open again.
        Voided,
        /// The epoch is over; nothing was committed.
        Superseded,
        /// The number is not the next; nothing was committed.
        WrongNumber {
            /// The next number.
            next: BatchNumber,
        },
        /// These samples are not due, too old or of unknown versions; nothing was committed.
        Rejected(Vec<Sample>),
        /// These groups are not whole; nothing was committed.
        Torn(Vec<GroupNumber>),
    }
}
