//! Drives orders: commits intents, sends under the lease, asks after unanswered orders.
//!
//! All orders to targets and the platform go through here, usage reports included.

mod guard;
mod receiver;
mod send;

pub use self::{
    receiver::{Ask, EngineOrder, FENCE_HEADER, PlatformOrder, Receipt, Verdict},
    send::{Fault, send},
};

use crate::{Node, Settings};
use catkinlatch_base::{OrderId, event};
use catkinlatch_fleet::order::{Permit, Step, Timing};
use catkinlatch_state::{
    Command, Reply,
    order::{self, Action, Change, Stage},
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinSet, time};

/// How often the lease and the open orders are looked at when nothing wakes the task.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a change rests after it could not be committed.
const COMMIT_RETRY: Duration = Duration::from_millis(100);

/// Returns the times that orders keep under the cluster's settings.
///
/// An order's deadline takes at most half of a lease, so that a renewed lease covers it.
pub fn timing(settings: &Settings) -> Timing {
    let longest_lease = Duration::from_millis(settings.lease_ms);
    let usual = Timing::default();
    Timing { longest_lease, deadline: usual.deadline.min(longest_lease / 2), ..usual }
}

/// Sends orders for as long as the node runs.
pub async fn run_orders(node: Arc<Node>) {
    let mut changes = node.control.changes();
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let state = node.control.state();
        let (now, wall_ms) = (node.clock.now(), node.clock.wall_ms());
        let step = node.desk().next(node.control.lease(), state.orders(), now, wall_ms);
        match step {
            Step::StandDown | Step::Idle => pause(&node, &mut changes, CHECK_INTERVAL).await,
            Step::Wait(until) => {
                let rest = until.saturating_duration_since(now).min(CHECK_INTERVAL);
                pause(&node, &mut changes, rest).await;
            }
            Step::Commit(change) => {
                tasks.spawn(commit(node.clone(), change));
            }
            Step::Send(permit) => {
                tasks.spawn(write(node.clone(), permit));
            }
            Step::Inquire { id, action } => {
                tasks.spawn(inquire(node.clone(), id, action));
            }
        }
    }
}

/// Carries out an order and returns what became of it, or nothing if this node lost the lead.
pub async fn carry_out(node: &Node, id: OrderId, action: Action) -> Option<Stage> {
    let mut changes = node.control.changes();
    if !node.desk().submit(id.clone(), action) {
        warn!("orders: {id} is not taken, too many orders wait");
        return None;
    }
    node.orders_wake.notify_one();
    loop {
        let state = node.control.state();
        match state.orders().list().get(&id).map(|order| order.stage) {
            Some(Stage::Intended) if node.control.leading().is_none() => return None,
            None if !node.desk().holds(&id) => return None,
            Some(Stage::Intended) | None => {}
            Some(stage) => return Some(stage),
        }
        let _ = time::timeout(CHECK_INTERVAL, changes.changed()).await;
    }
}

/// Waits until the state changes, an order is submitted or `rest` has passed.
async fn pause(
    node: &Node,
    changes: &mut watch::Receiver<catkinlatch_base::Revision>,
    rest: Duration,
) {
    tokio::select! {
        _ = changes.changed() => {}
        () = node.orders_wake.notified() => {}
        () = time::sleep(rest) => {}
    }
}

/// Commits a change and tells the desk.
async fn commit(node: Arc<Node>, change: Change) {
    let applied = match node.control.propose(Command::Order(change.clone())).await {
        Ok(Reply::Order(order::Reply::Done)) => true,
        Ok(reply) => {
            info!("orders: {change:?} was not made: {reply:?}");
            false
        }
        Err(error) => {
            warn!("orders: {change:?} is not committed: {error}");
            time::sleep(COMMIT_RETRY).await;
            false
        }
    };
    node.desk().committed(&change, applied, node.clock.now());
    node.orders_wake.notify_one();
}

/// Writes an order to its receiver and tells the desk.
async fn write(node: Arc<Node>, permit: Permit) {
    node.record(event::Kind::OrderSent { order: permit.id.clone(), term: permit.fence });
    let outcome = receiver::write(&node, &permit).await;
    info!("orders: {} under term {} came to {outcome:?}", permit.id, permit.fence);
    node.desk().sent(&permit, outcome, node.clock.now());
    node.orders_wake.notify_one();
}

/// Asks the receiver what became of an order and tells the desk.
async fn inquire(node: Arc<Node>, id: OrderId, action: Action) {
    let finding = receiver::inquire(&node, &id, &action).await;
    node.desk().inquired(&id, finding, node.clock.now());
    node.orders_wake.notify_one();
}
