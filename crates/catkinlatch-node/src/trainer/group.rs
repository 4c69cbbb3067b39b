//! Admission of groups: numbered by the ledger, then held by the coordinator.

use super::{remote, seat};
use crate::Node;
use catkinlatch_base::{GroupNumber, derive_value};
use catkinlatch_rollout::pool::Group;
use catkinlatch_state::{
    Command, Reply,
    batch::{self, Admission},
    config::Trainer,
};

derive_value! {
/// What became of a group.
pub enum Step {
    /// The group is taken, or was taken before.
    Taken,
    /// A group of the same id but another size was posted before.
    Differs,
    /// Too many groups are open.
    Full,
    /// This node does not coordinate the trainer any more, or control does not answer.
    Moved,
}
}

/// Admits a group; one that was posted before changes nothing.
pub async fn admit(node: &Node, trainer: &Trainer, group: Group) -> Step {
    let Some(epoch) = seat::refresh(node, trainer) else { return Step::Moved };
    let samples = u32::try_from(group.prompts.len()).unwrap_or(u32::MAX);
    let groups = vec![Admission { id: group.id.clone(), samples }];
    let change = batch::Change::Admit { trainer: trainer.id.clone(), epoch, groups };
    let numbers = match node.control.propose(Command::Batch(change)).await {
        Ok(Reply::Batch(batch::Reply::Admitted(numbers))) => numbers,
        Ok(Reply::Batch(batch::Reply::Full)) => return Step::Full,
        Ok(_) | Err(_) => return Step::Moved,
    };
    if differs(node, trainer, &group) {
        return Step::Differs;
    }
    for number in numbers.into_iter().flatten() {
        remote::keep_group(node, &trainer.id, number, &group).await;
        add(node, trainer, number, group.clone());
    }
    node.trainers.progress.notify_waiters();
    Step::Taken
}

fn add(node: &Node, trainer: &Trainer, number: GroupNumber, group: Group) {
    if let Some(coordinator) = node.trainers.lock().get_mut(&trainer.id) {
        coordinator.pool.add(number, group);
    }
}

/// Returns whether an open group of the same id has another size.
fn differs(node: &Node, trainer: &Trainer, group: &Group) -> bool {
    let state = node.control.state();
    let Some(ledger) = state.ledgers().get(&trainer.id) else { return false };
    let earlier = ledger.open().values().find(|open| open.id == group.id);
    earlier.is_some_and(|open| open.samples as usize != group.prompts.len())
}
