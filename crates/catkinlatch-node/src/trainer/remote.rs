//! What coordinators and other nodes say to each other.

use super::{
    Batch, batch,
    coordinator::Proposal,
    group, kept,
    seat::{self, Seat},
};
use crate::{Node, peer};
use catkinlatch_base::{BatchNumber, GroupNumber, HostId, TrainerId, derive_value};
use catkinlatch_rollout::pool::Group;
use catkinlatch_state::{batch as state, config::Trainer};
use log::warn;
use std::time::Duration;

/// How long another node may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

derive_value! {
    /// A message that concerns a trainer's coordinator.
    pub enum Message {
        /// Hands the coordinator a group that was posted to another node.
        Group {
            /// The trainer.
            trainer: TrainerId,
            /// The group.
            group: Group,
        },
        /// Asks the coordinator for a batch.
        Batch {
            /// The trainer.
            trainer: TrainerId,
            /// The batch.
            number: BatchNumber,
        },
        /// Asks a node to keep a copy.
        Keep {
            /// The trainer.
            trainer: TrainerId,
            /// The copy.
            copy: kept::Copy,
        },
        /// Asks a node for its copy of a committed batch.
        Contents {
            /// The trainer.
            trainer: TrainerId,
            /// The batch.
            make_up: state::Batch,
        },
        /// Asks a node for its copies of groups.
        Groups {
            /// The trainer.
            trainer: TrainerId,
        },
    }
}

derive_value! {
    /// The answer to a message that concerns a trainer's coordinator.
    pub enum Reply {
        /// What became of a group.
        Group(group::Step),
        /// What the request for a batch comes to.
        Batch(batch::Step),
        /// The copy is kept.
        Kept,
        /// The contents of a batch, if the node has a copy.
        Contents(Option<Batch>),
        /// The copies of groups.
        Groups(Vec<(GroupNumber, Group)>),
    }
}

/// Handles a message of another node.
pub async fn receive(node: &Node, message: Message) -> Reply {
    match message {
        Message::Group { trainer, group } => Reply::Group(match here(node, &trainer).await {
            Some(trainer) => group::admit(node, &trainer, group).await,
            None => group::Step::Moved,
        }),
        Message::Batch { trainer, number } => Reply::Batch(match here(node, &trainer).await {
            Some(trainer) => batch::take(node, &trainer, number).await,
            None => batch::Step::Moved,
        }),
        Message::Keep { trainer, copy } => {
            let state = node.control.state();
            let ledger = state.ledgers().get(&trainer);
            node.trainers.kept().entry(trainer).or_default().keep(copy, ledger);
            Reply::Kept
        }
        Message::Contents { trainer, make_up } => {
            let kept = node.trainers.kept();
            Reply::Contents(kept.get(&trainer).and_then(|kept| kept.contents(&make_up)))
        }
        Message::Groups { trainer } => {
            let kept = node.trainers.kept();
            Reply::Groups(kept.get(&trainer).map(|kept| kept.groups()).unwrap_or_default())
        }
    }
}

/// Returns the trainer if this node coordinates it, after taking a seat that is its own.
async fn here(node: &Node, trainer: &TrainerId) -> Option<Trainer> {
    if let Seat::Vacant(after) = Seat::find(node, trainer) {
        take(node, trainer, after).await.ok()?;
    }
    node.control.state().config().trainers().get(trainer).cloned()
}

/// Takes the seat and what other nodes keep for it.
pub async fn take(
    node: &Node,
    trainer: &TrainerId,
    after: catkinlatch_base::Epoch,
) -> Result<(), String> {
    let Seat::Here(_) = Seat::take(node, trainer, after).await? else { return Ok(()) };
    let Some(config) = node.control.state().config().trainers().get(trainer).cloned() else {
        return Ok(());
    };
    seat::refresh(node, &config);
    let own = node.trainers.kept().get(trainer).map(|kept| kept.groups()).unwrap_or_default();
    adopt(node, &config, own);
    let hosts: Vec<HostId> = node.peers.hosts().cloned().collect();
    for host in hosts.iter().filter(|host| node.peers.is_connected(host)) {
        let message = Message::Groups { trainer: trainer.clone() };
        if let Some(Reply::Groups(groups)) = call(node, host, message).await {
            adopt(node, &config, groups);
        }
    }
    node.trainers.progress.notify_waiters();
    Ok(())
}

/// Adds groups that are still open to the pool.
fn adopt(node: &Node, trainer: &Trainer, groups: Vec<(GroupNumber, Group)>) {
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

/// Sends a message and returns the answer, if one came.
pub async fn call(node: &Node, host: &HostId, message: Message) -> Option<Reply> {
    let message = peer::Message::Rollout(message);
    match node.peers.call(host, &message, TIMEOUT).await {
        Ok(peer::Reply::Rollout(reply)) => Some(reply),
        Ok(_) => None,
        Err(error) => {
            warn!("rollout: {error}");
            None
        }
    }
}

/// Hands a batch to a second host before its commit, and returns the make-up with its holders.
pub async fn replicate(node: &Node, trainer: &TrainerId, contents: &Batch) -> Option<state::Batch> {
    let own = node.settings.host.clone();
    if let Some(second) = second_host(node) {
        let make_up = contents.make_up(vec![own.clone(), second.clone()])?;
        let proposal = Proposal { make_up: make_up.clone(), contents: contents.clone() };
        let copy = kept::Copy::Batch(proposal);
        let message = Message::Keep { trainer: trainer.clone(), copy };
        if let Some(Reply::Kept) = call(node, &second, message).await {
            return Some(make_up);
        }
        warn!("rollout: batch {} of trainer {trainer} has no second holder", contents.number);
    }
    contents.make_up(vec![own])
}

/// Hands a group to a second host.
pub async fn keep_group(node: &Node, trainer: &TrainerId, number: GroupNumber, group: &Group) {
    let Some(second) = second_host(node) else { return };
    let copy = kept::Copy::Group { number, group: group.clone() };
    call(node, &second, Message::Keep { trainer: trainer.clone(), copy }).await;
}

/// Returns a connected host, of another zone if there is one.
fn second_host(node: &Node) -> Option<HostId> {
    let hosts = node.peers.hosts().filter(|host| node.peers.is_connected(host));
    hosts.min_by_key(|host| (node.peers.zone(host) == Some(&node.settings.zone), *host)).cloned()
}

/// Gets the contents of a committed batch from one of its holders.
pub async fn fetch(node: &Node, trainer: &TrainerId, committed: &state::Batch) -> Option<Batch> {
    let own = node.trainers.kept().get(trainer).and_then(|kept| kept.contents(committed));
    if own.is_some() {
        return own;
    }
    for host in committed.holders.iter().filter(|host| **host != node.settings.host) {
        let make_up = committed.clone();
        let message = Message::Contents { trainer: trainer.clone(), make_up };
        if let Some(Reply::Contents(Some(batch))) = call(node, host, message).await {
            return Some(batch);
        }
    }
    None
}
