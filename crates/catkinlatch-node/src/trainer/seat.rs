//! Which node coordinates a trainer.

use super::Coordinator;
use crate::Node;
use catkinlatch_base::{Epoch, GroupNumber, TrainerId};
use catkinlatch_rollout::Pool;
use catkinlatch_state::{Command, Reply, batch, config::Trainer};
use log::info;
use std::collections::BTreeSet;

/// Where a trainer is coordinated.
#[derive(Debug)]
pub enum Seat {
    /// This node coordinates it under this epoch.
    Here(Epoch),
    /// Another node does.
    Elsewhere(batch::Coordinator),
    /// Nobody does since this epoch.
    Vacant(Epoch),
}

impl Seat {
    /// Looks up where a trainer is coordinated.
    pub fn find(node: &Node, trainer: &TrainerId) -> Self {
        let state = node.control.state();
        let held = state.ledgers().get(trainer).and_then(|ledger| ledger.coordinator());
        match held {
            None => Self::Vacant(Epoch::default()),
            Some(held) if held.host != node.settings.host => Self::Elsewhere(held.clone()),
            Some(held) if held.incarnation == node.incarnation => Self::Here(held.epoch),
            Some(held) => Self::Vacant(held.epoch),
        }
    }

    /// Takes the seat unless another epoch has begun since `after`.
    pub async fn take(node: &Node, trainer: &TrainerId, after: Epoch) -> Result<Self, String> {
        let change = batch::Change::Assign {
            trainer: trainer.clone(),
            after,
            host: node.settings.host.clone(),
            incarnation: node.incarnation,
        };
        match node.control.propose(Command::Batch(change)).await {
            Ok(Reply::Batch(batch::Reply::Assigned(epoch))) => {
                info!("rollout: coordinates trainer {trainer} under epoch {epoch}");
                Ok(Self::Here(epoch))
            }
            Ok(Reply::Batch(batch::Reply::Held(_))) => Ok(Self::find(node, trainer)),
            Ok(reply) => Err(format!("assignment answered {reply:?}")),
            Err(error) => Err(error.to_string()),
        }
    }
}

/// Brings what this node holds for a trainer in line with the committed state.
///
/// Work of an earlier epoch is dropped, and samples that became too old are given up.
pub fn refresh(node: &Node, trainer: &Trainer) -> Option<Epoch> {
    let mut trainers = node.trainers.lock();
    let Seat::Here(epoch) = Seat::find(node, &trainer.id) else {
        trainers.remove(&trainer.id);
        return None;
    };
    let held = trainers.get(&trainer.id).map(|coordinator| coordinator.pool.epoch());
    if held != Some(epoch) {
        trainers.insert(trainer.id.clone(), Coordinator::new(trainer.id.clone(), epoch));
    }
    let coordinator = trainers.get_mut(&trainer.id)?;
    coordinator.pool.configure(trainer.batch_samples);
    let state = node.control.state();
    let ledger = state.ledgers().get(&trainer.id)?;
    let old = coordinator.pool.publish(ledger.newest(), trainer.max_age_versions);
    coordinator.cancel(&old);
    let delivered = coordinator.pool.remove(&delivered(&coordinator.pool, ledger));
    coordinator.cancel(&delivered);
    Some(epoch)
}

/// Returns the groups of the pool that were delivered.
///
/// A number that this node's state does not know yet was admitted a moment ago.
fn delivered(pool: &Pool, ledger: &batch::Ledger) -> BTreeSet<GroupNumber> {
    let gone =
        |number: &GroupNumber| *number < ledger.next_group() && !ledger.open().contains_key(number);
    pool.numbers().filter(gone).collect()
}
