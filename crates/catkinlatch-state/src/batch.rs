//! The make-up of batches, committed before a trainer may see them.

use catkinlatch_base::{
    BatchNumber, Epoch, HostId, Incarnation, SampleId, TrainerId, Version, derive_value,
};
use std::collections::{BTreeMap, BTreeSet};

derive_value! {
    /// Who coordinates a trainer's rollouts.
    pub struct Coordinator {
        /// Counts the assignments; only the newest may commit.
        pub epoch: Epoch,
        /// The host.
        pub host: HostId,
        /// The start of the host's process.
        pub incarnation: Incarnation,
    }
}

derive_value! {
    /// One sample of a batch.
    pub struct Sample {
        /// The sample.
        pub id: SampleId,
        /// The oldest version that produced a token of it.
        pub oldest: Version,
        /// The newest version that produced a token of it.
        pub newest: Version,
    }
}

derive_value! {
    /// A batch as committed.
    pub struct Batch {
        /// Its number.
        pub number: BatchNumber,
        /// What it holds, in order.
        pub samples: Vec<Sample>,
    }
}

derive_value! {
    /// A change of the ledgers.
    pub enum Change {
        /// Assigns a trainer's coordinator under the next epoch.
        Assign {
            /// The trainer.
            trainer: TrainerId,
            /// The host.
            host: HostId,
            /// The start of the host's process.
            incarnation: Incarnation,
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
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The host coordinates under this epoch.
        Assigned(Epoch),
        /// The newest version of the trainer.
        Published(Version),
        /// The batch is committed.
        Committed,
        /// The epoch is over; nothing was committed.
        Superseded,
        /// The number is not the next; nothing was committed.
        WrongNumber {
            /// The next number.
            next: BatchNumber,
        },
        /// These samples were delivered before or are too old; nothing was committed.
        Rejected(Vec<SampleId>),
    }
}

derive_value! {
    /// What is committed about one trainer.
    #[derive(Default)]
    pub struct Ledger {
        coordinator: Option<Coordinator>,
        newest: Version,
        last: Option<Batch>,
        delivered: BTreeSet<SampleId>,
    }
}

impl Ledger {
    /// Returns the coordinator.
    pub fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator.as_ref()
    }

    /// Returns the newest version that the trainer published.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Returns the batch that was committed last.
    pub fn last(&self) -> Option<&Batch> {
        self.last.as_ref()
    }

    /// Returns the number of the next batch.
    pub fn next_number(&self) -> BatchNumber {
        self.last.as_ref().map_or(BatchNumber::new(1), |batch| batch.number.next())
    }

    fn commit(&mut self, epoch: Epoch, max_age_versions: u64, batch: &Batch) -> Reply {
        if self.coordinator.as_ref().is_none_or(|holder| holder.epoch != epoch) {
            return Reply::Superseded;
        }
        if batch.number != self.next_number() {
            return Reply::WrongNumber { next: self.next_number() };
        }
        let floor = self.newest.get().saturating_sub(max_age_versions);
        let unfit = |s: &&Sample| s.oldest.get() < floor || self.delivered.contains(&s.id);
        let rejected: Vec<SampleId> =
            batch.samples.iter().filter(unfit).map(|sample| sample.id.clone()).collect();
        if !rejected.is_empty() {
            return Reply::Rejected(rejected);
        }
        self.delivered.extend(batch.samples.iter().map(|sample| sample.id.clone()));
        self.last = Some(batch.clone());
        Reply::Committed
    }
}

derive_value! {
    /// The ledgers of all trainers.
    #[derive(Default)]
    pub struct Ledgers {
        ledgers: BTreeMap<TrainerId, Ledger>,
    }
}

impl Ledgers {
    /// Returns the ledger of a trainer.
    pub fn get(&self, trainer: &TrainerId) -> Option<&Ledger> {
        self.ledgers.get(trainer)
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Assign { trainer, host, incarnation } => {
                let ledger = self.ledgers.entry(trainer.clone()).or_default();
                let epoch = ledger.coordinator().map_or(Epoch::new(1), |held| held.epoch.next());
                let (host, incarnation) = (host.clone(), *incarnation);
                ledger.coordinator = Some(Coordinator { epoch, host, incarnation });
                Reply::Assigned(epoch)
            }
            Change::Publish { trainer, version } => {
                let ledger = self.ledgers.entry(trainer.clone()).or_default();
                ledger.newest = ledger.newest.max(*version);
                Reply::Published(ledger.newest)
            }
            Change::Commit { trainer, epoch, max_age_versions, batch } => {
                let ledger = self.ledgers.entry(trainer.clone()).or_default();
                ledger.commit(*epoch, *max_age_versions, batch)
            }
        }
    }
}
