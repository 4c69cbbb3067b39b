//! Assembly of batches: a batch is committed to the control log before it is returned.

use super::{Batch, assignment, coordinator::Proposal, remote, replica::Entry};
use crate::Node;
use catkinlatch_base::{BatchNumber, Epoch, GroupId, GroupNumber, TrainerId, derive_value, event};
use catkinlatch_rollout::{copies::Verdict, pool::Sample};
use catkinlatch_state::{
    Command, Reply,
    batch::{self, Ledger},
    config::Trainer,
};
use log::warn;
use std::collections::BTreeSet;

derive_value! {
/// The outcome of a request for a batch.
pub enum Outcome {
    /// The batch is committed.
    Ready(Batch),
    /// No batch can be committed yet; the request may wait.
    Wait,
    /// The number is neither that of the last committed batch nor the next one.
    WrongNumber {
        /// The next batch number.
        next: BatchNumber,
    },
    /// The batch was committed, but all copies of its contents are lost; the trainer must request
    /// the next number.
    Lost,
    /// The contents of these groups are lost; the trainer must post them again.
    Missing(Vec<GroupId>),
    /// This node does not coordinate the trainer, or the control log does not answer; the caller
    /// must look up the coordinator again.
    Moved,
    /// The batch was committed, but no host that answers has its contents, and a holder does not
    /// answer; the trainer may ask again.
    Unreachable,
}
}

/// Commits and returns the batch of this number, or returns it again if it is the last committed.
pub async fn get(node: &Node, trainer: &Trainer, number: BatchNumber) -> Outcome {
    let Some(epoch) = assignment::sync_coordinator(node, trainer) else { return Outcome::Moved };
    let commit_lock = {
        let trainers = node.trainers.lock();
        let Some(coordinator) = trainers.get(&trainer.id) else { return Outcome::Moved };
        coordinator.commit_lock.clone()
    };
    let _guard = commit_lock.lock().await;
    let state = node.control.state();
    let Some(ledger) = state.ledgers().get(&trainer.id) else { return Outcome::Moved };
    match ledger.last() {
        Some(last) if last.batch.number == number => {
            return_committed(node, &trainer.id, epoch, last).await
        }
        Some(_) | None if number == ledger.next_number() => {
            commit_next(node, trainer, epoch, ledger).await
        }
        Some(_) | None => Outcome::WrongNumber { next: ledger.next_number() },
    }
}

/// Returns the last committed batch, from a holder on another host if need be.
///
/// Records the batch as lost only if all of its holders answer that they have no copy.
async fn return_committed(
    node: &Node,
    trainer: &TrainerId,
    epoch: Epoch,
    last: &batch::CommittedBatch,
) -> Outcome {
    if last.lost {
        return Outcome::Lost;
    }
    let number = last.batch.number;
    match remote::fetch_batch(node, trainer, &last.batch).await.verdict() {
        Verdict::Found(contents) => {
            let manifest = last.batch.clone();
            store_proposal(node, trainer, Proposal { manifest, contents: contents.clone() });
            Outcome::Ready(contents)
        }
        Verdict::Unknown => {
            warn!("rollout: batch {number} of trainer {trainer}: a holder does not answer");
            Outcome::Unreachable
        }
        Verdict::Lost => record_loss(node, trainer, epoch, number).await,
    }
}

async fn record_loss(
    node: &Node,
    trainer: &TrainerId,
    epoch: Epoch,
    number: BatchNumber,
) -> Outcome {
    let change = batch::Change::Lose { trainer: trainer.clone(), epoch, number };
    match node.control.propose(Command::Batch(change)).await {
        Ok(Reply::Batch(batch::Reply::Lost)) => {
            warn!("rollout: batch {number} of trainer {trainer} is lost; no holder has it");
            Outcome::Lost
        }
        Ok(_) | Err(_) => Outcome::Moved,
    }
}

/// Commits the next batch if enough groups are complete.
async fn commit_next(node: &Node, trainer: &Trainer, epoch: Epoch, ledger: &Ledger) -> Outcome {
    let Some(samples) = complete_groups(node, &trainer.id) else {
        return missing_groups(node, &trainer.id, ledger);
    };
    let number = ledger.next_number();
    let contents = Batch { number, samples };
    let Some(manifest) = remote::replicate_batch(node, &trainer.id, &contents).await else {
        return Outcome::Wait;
    };
    let proposal = Proposal { manifest: manifest.clone(), contents: contents.clone() };
    store_proposal(node, &trainer.id, proposal);
    let change = batch::Change::Commit {
        trainer: trainer.id.clone(),
        epoch,
        max_age_versions: trainer.max_age_versions,
        batch: manifest,
    };
    match node.control.propose(Command::Batch(change)).await {
        Ok(Reply::Batch(batch::Reply::Committed)) => {
            record_commit(node, &trainer.id, &contents);
            Outcome::Ready(contents)
        }
        Ok(Reply::Batch(batch::Reply::Rejected(samples))) => {
            discard_rejected(node, &trainer.id, &samples);
            Outcome::Wait
        }
        Ok(Reply::Batch(batch::Reply::WrongNumber { .. })) => Outcome::Wait,
        Ok(reply) => {
            warn!("rollout: batch {number} of trainer {} was not committed: {reply:?}", trainer.id);
            Outcome::Moved
        }
        Err(error) => {
            warn!("rollout: batch {number} of trainer {} is unconfirmed: {error}", trainer.id);
            Outcome::Moved
        }
    }
}

fn complete_groups(node: &Node, trainer: &TrainerId) -> Option<Vec<Sample>> {
    node.trainers.lock().get(trainer)?.pool.batch()
}

fn store_proposal(node: &Node, trainer: &TrainerId, proposal: Proposal) {
    remote::store_copy(node, trainer, Entry::Batch(proposal));
}

/// Returns [`Outcome::Missing`] with the open groups whose contents this node does not have, or
/// [`Outcome::Wait`] if it has all of them.
fn missing_groups(node: &Node, trainer: &TrainerId, ledger: &Ledger) -> Outcome {
    let trainers = node.trainers.lock();
    let Some(coordinator) = trainers.get(trainer) else { return Outcome::Moved };
    let present: BTreeSet<GroupNumber> = coordinator.pool.numbers().collect();
    let missing = ledger.open().iter().filter(|(number, _)| !present.contains(number));
    let missing: Vec<GroupId> = missing.map(|(_, group)| group.id.clone()).collect();
    if missing.is_empty() { Outcome::Wait } else { Outcome::Missing(missing) }
}

/// Removes the groups of a committed batch from the pool and cancels their runs.
fn record_commit(node: &Node, trainer: &TrainerId, batch: &Batch) {
    let numbers: BTreeSet<GroupNumber> =
        batch.samples.iter().map(|sample| sample.task.number).collect();
    if let Some(coordinator) = node.trainers.lock().get_mut(trainer) {
        let cancel = coordinator.pool.remove(&numbers);
        coordinator.cancel(&cancel);
    }
    let (trainer, batch) = (trainer.clone(), batch.number);
    node.record(event::Kind::BatchCommitted { trainer, batch });
}

/// Discards samples that the ledger rejected, so that they run again.
fn discard_rejected(node: &Node, trainer: &TrainerId, samples: &[batch::Sample]) {
    if let Some(coordinator) = node.trainers.lock().get_mut(trainer) {
        for sample in samples {
            coordinator.pool.discard_sample(sample.group, sample.index);
        }
    }
    node.trainers.progress.notify_waiters();
}
