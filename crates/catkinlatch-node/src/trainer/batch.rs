//! Making batches: committed first, then handed out.

use super::{Batch, coordinator::Proposal, remote, seat};
use crate::Node;
use catkinlatch_base::{BatchNumber, Epoch, GroupId, GroupNumber, TrainerId, derive_value, event};
use catkinlatch_rollout::pool::Sample;
use catkinlatch_state::{
    Command, Reply,
    batch::{self, Ledger},
    config::Trainer,
};
use log::warn;
use std::collections::BTreeSet;

derive_value! {
/// What a request for a batch comes to.
pub enum Step {
    /// The batch.
    Ready(Batch),
    /// Not enough groups are whole yet.
    Wait,
    /// The number is not this batch's turn.
    WrongNumber {
        /// The number that is next.
        next: BatchNumber,
    },
    /// The batch was committed, but its contents are lost; the next number is to be taken.
    Lost,
    /// The contents of these groups are lost; they are to be posted again.
    Missing(Vec<GroupId>),
    /// This node does not coordinate the trainer any more, or control does not answer.
    Moved,
}
}

/// Makes the batch of that number, or returns it again.
pub async fn take(node: &Node, trainer: &Trainer, number: BatchNumber) -> Step {
    let Some(epoch) = seat::refresh(node, trainer) else { return Step::Moved };
    let making = {
        let trainers = node.trainers.lock();
        let Some(coordinator) = trainers.get(&trainer.id) else { return Step::Moved };
        coordinator.making.clone()
    };
    let _making = making.lock().await;
    let state = node.control.state();
    let Some(ledger) = state.ledgers().get(&trainer.id) else { return Step::Moved };
    match ledger.last() {
        Some(last) if last.batch.number == number => again(node, &trainer.id, epoch, last).await,
        Some(_) | None if number == ledger.next_number() => {
            make(node, trainer, epoch, ledger).await
        }
        Some(_) | None => Step::WrongNumber { next: ledger.next_number() },
    }
}

/// Returns a batch that was committed before.
async fn again(node: &Node, trainer: &TrainerId, epoch: Epoch, last: &batch::Committed) -> Step {
    if last.lost {
        return Step::Lost;
    }
    if let Some(contents) = contents(node, trainer, &last.batch) {
        return Step::Ready(contents);
    }
    if let Some(contents) = remote::fetch(node, trainer, &last.batch).await {
        let make_up = last.batch.clone();
        keep(node, trainer, Proposal { make_up, contents: contents.clone() });
        return Step::Ready(contents);
    }
    let number = last.batch.number;
    let change = batch::Change::Void { trainer: trainer.clone(), epoch, number };
    match node.control.propose(Command::Batch(change)).await {
        Ok(Reply::Batch(batch::Reply::Voided)) => {
            warn!("rollout: the contents of batch {number} of trainer {trainer} are lost");
            Step::Lost
        }
        Ok(_) | Err(_) => Step::Moved,
    }
}

fn contents(node: &Node, trainer: &TrainerId, committed: &batch::Batch) -> Option<Batch> {
    node.trainers.lock().get(trainer)?.contents(committed).cloned()
}

/// Commits the next batch if enough groups are whole.
async fn make(node: &Node, trainer: &Trainer, epoch: Epoch, ledger: &Ledger) -> Step {
    let Some(samples) = whole_groups(node, &trainer.id) else {
        return missing(node, &trainer.id, ledger);
    };
    let number = ledger.next_number();
    let contents = Batch { number, samples };
    let Some(make_up) = remote::replicate(node, &trainer.id, &contents).await else {
        return Step::Wait;
    };
    keep(node, &trainer.id, Proposal { make_up: make_up.clone(), contents: contents.clone() });
    let change = batch::Change::Commit {
        trainer: trainer.id.clone(),
        epoch,
        max_age_versions: trainer.max_age_versions,
        batch: make_up,
    };
    match node.control.propose(Command::Batch(change)).await {
        Ok(Reply::Batch(batch::Reply::Committed)) => {
            committed(node, &trainer.id, &contents);
            Step::Ready(contents)
        }
        Ok(Reply::Batch(batch::Reply::Rejected(samples))) => {
            redo(node, &trainer.id, &samples);
            Step::Wait
        }
        Ok(Reply::Batch(batch::Reply::WrongNumber { .. })) => Step::Wait,
        Ok(reply) => {
            warn!("rollout: batch {number} of trainer {} is not made: {reply:?}", trainer.id);
            Step::Moved
        }
        Err(error) => {
            warn!("rollout: batch {number} of trainer {} is open: {error}", trainer.id);
            Step::Moved
        }
    }
}

fn whole_groups(node: &Node, trainer: &TrainerId) -> Option<Vec<Sample>> {
    node.trainers.lock().get(trainer)?.pool.batch()
}

fn keep(node: &Node, trainer: &TrainerId, proposal: Proposal) {
    if let Some(coordinator) = node.trainers.lock().get_mut(trainer) {
        coordinator.keep(proposal);
    }
}

/// Names the open groups whose contents this node lacks.
fn missing(node: &Node, trainer: &TrainerId, ledger: &Ledger) -> Step {
    let trainers = node.trainers.lock();
    let Some(coordinator) = trainers.get(trainer) else { return Step::Moved };
    let held: BTreeSet<GroupNumber> = coordinator.pool.numbers().collect();
    let lacking = ledger.open().iter().filter(|(number, _)| !held.contains(number));
    let lacking: Vec<GroupId> = lacking.map(|(_, group)| group.id.clone()).collect();
    if lacking.is_empty() { Step::Wait } else { Step::Missing(lacking) }
}

fn committed(node: &Node, trainer: &TrainerId, batch: &Batch) {
    let numbers: BTreeSet<GroupNumber> =
        batch.samples.iter().map(|sample| sample.task.number).collect();
    if let Some(coordinator) = node.trainers.lock().get_mut(trainer) {
        let cancel = coordinator.pool.remove(&numbers);
        coordinator.cancel(&cancel);
    }
    let (trainer, batch) = (trainer.clone(), batch.number);
    node.record(event::Kind::BatchCommitted { trainer, batch });
}

fn redo(node: &Node, trainer: &TrainerId, samples: &[batch::Sample]) {
    if let Some(coordinator) = node.trainers.lock().get_mut(trainer) {
        for sample in samples {
            coordinator.pool.redo(sample.group, sample.index);
        }
    }
    node.trainers.progress.notify_waiters();
}
