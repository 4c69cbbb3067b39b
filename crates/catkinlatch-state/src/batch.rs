//! Training batches: which samples each one contains.
//!
//! The composition of a batch is committed to the control log before the batch is sent to its
//! trainer.

mod change;
mod coordinator;
mod group;
mod ledger;
mod sample;

pub use self::{
    change::{Admission, Change, Reply},
    coordinator::Coordinator,
    group::Group,
    ledger::{CommittedBatch, Ledger, MAX_CLOSED_GROUPS, MAX_OPEN_GROUPS},
    sample::{Batch, Sample},
};

use catkinlatch_base::{TrainerId, derive_value};
use std::collections::BTreeMap;

derive_value! {
    /// The batch ledgers of all trainers.
    ///
    /// ```
    /// use catkinlatch_base::{TrainerId, Version};
    /// use catkinlatch_state::batch::{Change, Ledgers, Reply};
    ///
    /// let mut ledgers = Ledgers::default();
    /// let trainer: TrainerId = "defects".parse().expect("the id is valid");
    /// let change = Change::Publish { trainer, version: Version::new(1) };
    /// assert_eq!(ledgers.apply(&change), Reply::Published(Version::new(1)));
    /// ```
    #[derive(Default)]
    pub struct Ledgers {
        ledgers: BTreeMap<TrainerId, Ledger>,
    }
}

impl Ledgers {
    /// Returns the ledger of a trainer, or `None` if no change was ever applied for it.
    pub fn get(&self, trainer: &TrainerId) -> Option<&Ledger> {
        self.ledgers.get(trainer)
    }

    /// Applies a change, creating the trainer's ledger if there is none.
    pub fn apply(&mut self, change: &Change) -> Reply {
        let ledger = self.ledgers.entry(change.trainer().clone()).or_default();
        match change {
            Change::Assign { after, host, incarnation, .. } => {
                ledger.assign(*after, host, *incarnation)
            }
            Change::Admit { epoch, groups, .. } => ledger.admit(*epoch, groups),
            Change::Publish { version, .. } => ledger.publish(*version),
            Change::Commit { epoch, max_age_versions, batch, .. } => {
                ledger.commit(*epoch, *max_age_versions, batch)
            }
            Change::Void { epoch, number, .. } => ledger.void(*epoch, *number),
            Change::Lose { epoch, number, .. } => ledger.lose(*epoch, *number),
        }
    }
}
