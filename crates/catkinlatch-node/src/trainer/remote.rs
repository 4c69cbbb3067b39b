//! Messages between a trainer's coordinator and the other nodes.

use super::{
    Batch,
    assignment::{self, Assignment},
    batch,
    coordinator::Proposal,
    group, replica,
};
use crate::{Node, peer};
use catkinlatch_base::{BatchNumber, GroupNumber, HostId, TrainerId, derive_value};
use catkinlatch_rollout::{
    copies::{Answer, Search},
    pool::Group,
};
use catkinlatch_state::{batch as state, config::Trainer};
use log::warn;
use std::time::Duration;

/// How long a call to another node may take.
const TIMEOUT: Duration = Duration::from_secs(5);

derive_value! {
    /// A message between a trainer's coordinator and another node.
    pub enum Message {
        /// Forwards a group that was posted to another node to the coordinator.
        Group {
            /// The trainer.
            trainer: TrainerId,
            /// The group as posted.
            group: Group,
        },
        /// Requests a batch from the coordinator.
        Batch {
            /// The trainer.
            trainer: TrainerId,
            /// The batch number.
            number: BatchNumber,
        },
        /// Stores a replica of a group or batch on another node.
        Replicate {
            /// The trainer.
            trainer: TrainerId,
            /// The group or batch.
            entry: replica::Entry,
        },
        /// Requests the contents of a committed batch from a holder.
        Contents {
            /// The trainer.
            trainer: TrainerId,
            /// The committed record of the batch.
            manifest: state::Batch,
        },
        /// Requests all groups of a trainer that a node stores as replicas.
        Groups {
            /// The trainer.
            trainer: TrainerId,
        },
    }
}

derive_value! {
    /// The reply to a [`Message`].
    pub enum Reply {
        /// The outcome of posting a group.
        Group(group::Outcome),
        /// The outcome of the request for a batch.
        Batch(batch::Outcome),
        /// The replica is stored.
        Replicated,
        /// The contents of the batch, if the node stores them.
        Contents(Option<Batch>),
        /// The stored groups and their numbers.
        Groups(Vec<(GroupNumber, Group)>),
    }
}

/// Handles a message from another node.
pub async fn receive(node: &Node, message: Message) -> Reply {
    match message {
        Message::Group { trainer, group } => {
            Reply::Group(match claim_unassigned(node, &trainer).await {
                Some(trainer) => group::admit(node, &trainer, group).await,
                None => group::Outcome::Moved,
            })
        }
        Message::Batch { trainer, number } => {
            Reply::Batch(match claim_unassigned(node, &trainer).await {
                Some(trainer) => batch::get(node, &trainer, number).await,
                None => batch::Outcome::Moved,
            })
        }
        Message::Replicate { trainer, entry } => {
            store_copy(node, &trainer, entry);
            Reply::Replicated
        }
        Message::Contents { trainer, manifest } => {
            Reply::Contents(stored_contents(node, &trainer, &manifest))
        }
        Message::Groups { trainer } => {
            let replicas = node.trainers.replicas();
            Reply::Groups(
                replicas.get(&trainer).map(|replica| replica.groups()).unwrap_or_default(),
            )
        }
    }
}

/// Takes over the trainer if it is unassigned, and returns its configuration.
///
/// Returns `None` if that fails or the trainer is not configured.
async fn claim_unassigned(node: &Node, trainer: &TrainerId) -> Option<Trainer> {
    if let Assignment::Unassigned(after) = Assignment::find(node, trainer) {
        take_over(node, trainer, after).await.ok()?;
    }
    node.control.state().config().trainers().get(trainer).cloned()
}

/// Claims the assignment and restores the open groups from this node's and its peers' replicas.
///
/// `after` is the last epoch that this node has seen. Has no effect if another node was assigned
/// since. Fails if the control log does not assign the trainer.
pub async fn take_over(
    node: &Node,
    trainer: &TrainerId,
    after: catkinlatch_base::Epoch,
) -> Result<(), String> {
    let Assignment::Local(_) = Assignment::claim(node, trainer, after).await? else {
        return Ok(());
    };
    let Some(config) = node.control.state().config().trainers().get(trainer).cloned() else {
        return Ok(());
    };
    assignment::sync_coordinator(node, &config);
    let own =
        node.trainers.replicas().get(trainer).map(|replica| replica.groups()).unwrap_or_default();
    restore_groups(node, &config, own);
    let hosts: Vec<HostId> = node.peers.hosts().cloned().collect();
    for host in hosts.iter().filter(|host| node.peers.is_connected(host)) {
        let message = Message::Groups { trainer: trainer.clone() };
        if let Some(Reply::Groups(groups)) = call(node, host, message).await {
            restore_groups(node, &config, groups);
        }
    }
    node.trainers.progress.notify_waiters();
    Ok(())
}

/// Adds those of the groups that are still open to the pool.
fn restore_groups(node: &Node, trainer: &Trainer, groups: Vec<(GroupNumber, Group)>) {
    let state = node.control.state();
    let Some(ledger) = state.ledgers().get(&trainer.id) else { return };
    let mut trainers = node.trainers.lock();
    let Some(coordinator) = trainers.get_mut(&trainer.id) else { return };
    for (number, group) in groups {
        let open = ledger.open().get(&number);
        if open.is_some_and(|open| open.id == group.id) {
            coordinator.pool.add(number, group);
        }
    }
}

/// Sends a message and returns the reply, or `None` after an error or a timeout.
pub async fn call(node: &Node, host: &HostId, message: Message) -> Option<Reply> {
    let message = peer::Message::Rollout(message);
    match node.peers.call(host, &message, TIMEOUT).await {
        Ok(peer::Reply::Rollout(reply)) => Some(reply),
        Ok(_) => None,
        Err(error) => {
            warn!("rollout: peer call failed: {error}");
            None
        }
    }
}

/// Replicates a batch to a second host before its commit, and returns the record to commit.
///
/// The record names this host as the only holder if replication fails. Returns `None` if a sample
/// has no evidence.
pub async fn replicate_batch(
    node: &Node,
    trainer: &TrainerId,
    contents: &Batch,
) -> Option<state::Batch> {
    let own = node.settings.host.clone();
    if let Some(second) = choose_replica_host(node) {
        let manifest = contents.manifest(vec![own.clone(), second.clone()])?;
        let proposal = Proposal { manifest: manifest.clone(), contents: contents.clone() };
        let entry = replica::Entry::Batch(proposal);
        let message = Message::Replicate { trainer: trainer.clone(), entry };
        if let Some(Reply::Replicated) = call(node, &second, message).await {
            return Some(manifest);
        }
        warn!(
            "rollout: batch {} of trainer {trainer} was not replicated to a second host",
            contents.number
        );
    }
    contents.manifest(vec![own])
}

/// Replicates a group to a second host, without checking whether that succeeds.
pub async fn replicate_group(node: &Node, trainer: &TrainerId, number: GroupNumber, group: &Group) {
    let Some(second) = choose_replica_host(node) else { return };
    let entry = replica::Entry::Group { number, group: group.clone() };
    call(node, &second, Message::Replicate { trainer: trainer.clone(), entry }).await;
}

/// Returns a connected host, preferably in another zone.
fn choose_replica_host(node: &Node) -> Option<HostId> {
    let hosts = node.peers.hosts().filter(|host| node.peers.is_connected(host));
    hosts.min_by_key(|host| (node.peers.zone(host) == Some(&node.settings.zone), *host)).cloned()
}

/// Looks for the contents of a committed batch on this node, then on its other holders, then on
/// the other connected hosts, which may have fetched a copy while they coordinated the trainer.
pub async fn fetch_batch(
    node: &Node,
    trainer: &TrainerId,
    committed: &state::Batch,
) -> Search<Batch> {
    let mut search = Search::new(stored_contents(node, trainer, committed));
    let is_holder = |host: &HostId| committed.holders.contains(host);
    let others = node.peers.hosts().filter(|host| !is_holder(host));
    let others = others.filter(|host| node.peers.is_connected(host)).cloned();
    let hosts: Vec<HostId> = committed.holders.iter().cloned().chain(others).collect();
    for host in hosts.iter().filter(|host| **host != node.settings.host) {
        if search.is_found() {
            break;
        }
        let manifest = committed.clone();
        let message = Message::Contents { trainer: trainer.clone(), manifest };
        match call(node, host, message).await {
            Some(Reply::Contents(contents)) => search.add(Answer::Holds(contents)),
            Some(_) | None if is_holder(host) => search.add(Answer::Silent),
            Some(_) | None => {}
        }
    }
    search
}

/// Returns the contents of a committed batch if this node stores them.
pub fn stored_contents(
    node: &Node,
    trainer: &TrainerId,
    committed: &state::Batch,
) -> Option<Batch> {
    node.trainers.replicas().get(trainer)?.contents(committed)
}

/// Stores a copy of a group or batch on this node.
pub fn store_copy(node: &Node, trainer: &TrainerId, entry: replica::Entry) {
    let state = node.control.state();
    let ledger = state.ledgers().get(trainer);
    node.trainers.replicas().entry(trainer.clone()).or_default().store(entry, ledger);
}
