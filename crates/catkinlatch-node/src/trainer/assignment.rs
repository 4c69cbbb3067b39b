//! Assignment of trainers to coordinating nodes.

use super::Coordinator;
use crate::Node;
use catkinlatch_base::{Epoch, GroupNumber, TrainerId};
use catkinlatch_rollout::Pool;
use catkinlatch_state::{Command, Reply, batch, config::Trainer};
use log::info;
use std::collections::BTreeSet;

/// Which node coordinates a trainer.
#[derive(Debug)]
pub enum Assignment {
    /// This start of this node, in this epoch.
    Local(Epoch),
    /// Another host.
    Remote(batch::Coordinator),
    /// No running node: none was assigned yet, or an earlier start of this host was. Holds the
    /// last epoch, which is zero if none was assigned.
    Unassigned(Epoch),
}

impl Assignment {
    /// Looks up a trainer's assignment in the committed state.
    pub fn find(node: &Node, trainer: &TrainerId) -> Self {
        let state = node.control.state();
        let current = state.ledgers().get(trainer).and_then(|ledger| ledger.coordinator());
        match current {
            None => Self::Unassigned(Epoch::default()),
            Some(current) if current.host != node.settings.host => Self::Remote(current.clone()),
            Some(current) if current.incarnation == node.incarnation => Self::Local(current.epoch),
            Some(current) => Self::Unassigned(current.epoch),
        }
    }

    /// Assigns the trainer to this node, unless an epoch after `after` has begun.
    ///
    /// Returns the assignment then in effect, or why the control log made no assignment.
    pub async fn claim(node: &Node, trainer: &TrainerId, after: Epoch) -> Result<Self, String> {
        let change = batch::Change::Assign {
            trainer: trainer.clone(),
            after,
            host: node.settings.host.clone(),
            incarnation: node.incarnation,
        };
        match node.control.propose(Command::Batch(change)).await {
            Ok(Reply::Batch(batch::Reply::Assigned(epoch))) => {
                info!("rollout: this node coordinates trainer {trainer} as of epoch {epoch}");
                Ok(Self::Local(epoch))
            }
            Ok(Reply::Batch(batch::Reply::Held(_))) => Ok(Self::find(node, trainer)),
            Ok(reply) => Err(format!("unexpected reply to the assignment: {reply:?}")),
            Err(error) => Err(error.to_string()),
        }
    }
}

/// Updates this node's coordinator of a trainer from the committed state.
///
/// Drops the work of earlier epochs, and gives up samples that have become too old. Returns the
/// epoch, or `None` if this node does not coordinate the trainer.
pub fn sync_coordinator(node: &Node, trainer: &Trainer) -> Option<Epoch> {
    let mut trainers = node.trainers.lock();
    let Assignment::Local(epoch) = Assignment::find(node, &trainer.id) else {
        trainers.remove(&trainer.id);
        return None;
    };
    let pool_epoch = trainers.get(&trainer.id).map(|coordinator| coordinator.pool.epoch());
    if pool_epoch != Some(epoch) {
        trainers.insert(trainer.id.clone(), Coordinator::new(trainer.id.clone(), epoch));
    }
    let coordinator = trainers.get_mut(&trainer.id)?;
    coordinator.pool.set_batch_samples(trainer.batch_samples);
    let state = node.control.state();
    let ledger = state.ledgers().get(&trainer.id)?;
    let expired = coordinator.pool.set_newest_version(ledger.newest(), trainer.max_age_versions);
    coordinator.cancel(&expired);
    let delivered = coordinator.pool.remove(&delivered(&coordinator.pool, ledger));
    coordinator.cancel(&delivered);
    Some(epoch)
}

/// Returns the groups of the pool that were delivered in a batch.
///
/// A number from `next_group` on was admitted so recently that this node has not applied the change
/// yet, so its group counts as undelivered.
fn delivered(pool: &Pool, ledger: &batch::Ledger) -> BTreeSet<GroupNumber> {
    let is_delivered =
        |number: &GroupNumber| *number < ledger.next_group() && !ledger.open().contains_key(number);
    pool.numbers().filter(is_delivered).collect()
}
