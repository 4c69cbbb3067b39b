//! Admission of groups: the ledger numbers a group, then the coordinator adds it to its pool.

use super::{assignment, remote};
use crate::Node;
use catkinlatch_base::{GroupNumber, derive_value};
use catkinlatch_rollout::pool::Group;
use catkinlatch_state::{
    Command, Reply,
    batch::{self, Admission},
    config::Trainer,
};

derive_value! {
/// The outcome of posting a group.
pub enum Outcome {
    /// The group is admitted, or was admitted before.
    Admitted,
    /// An open group has the same id but another number of samples.
    SizeMismatch,
    /// The trainer has too many open groups.
    Full,
    /// This node does not coordinate the trainer, or the control log does not answer; the caller
    /// must look up the coordinator again.
    Moved,
}
}

/// Admits a group. Idempotent by the id of the group.
pub async fn admit(node: &Node, trainer: &Trainer, group: Group) -> Outcome {
    let Some(epoch) = assignment::sync_coordinator(node, trainer) else { return Outcome::Moved };
    let samples = u32::try_from(group.prompts.len()).unwrap_or(u32::MAX);
    let groups = vec![Admission { id: group.id.clone(), samples }];
    let change = batch::Change::Admit { trainer: trainer.id.clone(), epoch, groups };
    let numbers = match node.control.propose(Command::Batch(change)).await {
        Ok(Reply::Batch(batch::Reply::Admitted(numbers))) => numbers,
        Ok(Reply::Batch(batch::Reply::Full)) => return Outcome::Full,
        Ok(_) | Err(_) => return Outcome::Moved,
    };
    if has_size_mismatch(node, trainer, &group) {
        return Outcome::SizeMismatch;
    }
    for number in numbers.into_iter().flatten() {
        remote::replicate_group(node, &trainer.id, number, &group).await;
        add_to_pool(node, trainer, number, group.clone());
    }
    node.trainers.progress.notify_waiters();
    Outcome::Admitted
}

fn add_to_pool(node: &Node, trainer: &Trainer, number: GroupNumber, group: Group) {
    if let Some(coordinator) = node.trainers.lock().get_mut(&trainer.id) {
        coordinator.pool.add(number, group);
    }
}

/// Returns whether an open group has the same id but another number of samples.
fn has_size_mismatch(node: &Node, trainer: &Trainer, group: &Group) -> bool {
    let state = node.control.state();
    let Some(ledger) = state.ledgers().get(&trainer.id) else { return false };
    let earlier = ledger.open().values().find(|open| open.id == group.id);
    earlier.is_some_and(|open| open.samples as usize != group.prompts.len())
}
