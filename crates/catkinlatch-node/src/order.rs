//! Executes orders: commits the intent, sends the order under the leader's lease, and queries the
//! outcome of unanswered orders.
//!
//! All orders to targets and the platform go through this module, including usage reports.

mod guard;
mod receiver;
mod send;

pub use self::{
    receiver::{EngineOrder, FENCE_HEADER, PlatformAction, PlatformOrder, Receipt, Verdict},
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

/// The longest time between two checks of the lease and the open orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The delay after a change could not be committed, before the dispatcher may retry it.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns the timing of orders under the cluster's settings.
///
/// The deadline of an order is at most half of a lease, so that a renewed lease covers it.
pub fn timing(settings: &Settings) -> Timing {
    let longest_lease = Duration::from_millis(settings.lease_ms);
    let defaults = Timing::default();
    Timing { longest_lease, deadline: defaults.deadline.min(longest_lease / 2), ..defaults }
}

/// Executes the steps that the order dispatcher decides on. Never returns.
pub async fn run_orders(node: Arc<Node>) {
    let mut changes = node.control.changes();
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let state = node.control.state();
        let (now, wall_ms) = (node.clock.now(), node.clock.wall_ms());
        let step = node.dispatcher().next(node.control.lease(), state.orders(), now, wall_ms);
        match step {
            Step::StandDown | Step::Idle => wait(&node, &mut changes, CHECK_INTERVAL).await,
            Step::Wait(until) => {
                let max_wait = until.saturating_duration_since(now).min(CHECK_INTERVAL);
                wait(&node, &mut changes, max_wait).await;
            }
            Step::Commit(change) => {
                tasks.spawn(commit(node.clone(), change));
            }
            Step::Send(permit) => {
                tasks.spawn(send_order(node.clone(), permit));
            }
            Step::Inquire { id, action } => {
                tasks.spawn(inquire(node.clone(), id, action));
            }
        }
    }
}

/// Executes an order and returns its outcome.
///
/// Returns `None` if too many orders are waiting, if this node is no longer the leader, or if the
/// order was dropped before its intent was committed.
pub async fn execute(node: &Node, id: OrderId, action: Action) -> Option<Stage> {
    let mut changes = node.control.changes();
    if !node.dispatcher().submit(id.clone(), action) {
        warn!("orders: rejected order {id}: too many orders are waiting");
        return None;
    }
    node.orders_wake.notify_one();
    loop {
        let state = node.control.state();
        match state.orders().list().get(&id).map(|order| order.stage) {
            Some(Stage::Intended) if node.control.leading_term().is_none() => return None,
            None if !node.dispatcher().holds(&id) => return None,
            Some(Stage::Intended) | None => {}
            Some(stage) => return Some(stage),
        }
        let _ = time::timeout(CHECK_INTERVAL, changes.changed()).await;
    }
}

/// Waits until the state changes, the task is woken or `max_wait` has passed.
async fn wait(
    node: &Node,
    changes: &mut watch::Receiver<catkinlatch_base::Revision>,
    max_wait: Duration,
) {
    tokio::select! {
        _ = changes.changed() => {}
        () = node.orders_wake.notified() => {}
        () = time::sleep(max_wait) => {}
    }
}

/// Proposes a change and reports to the dispatcher whether it was applied.
async fn commit(node: Arc<Node>, change: Change) {
    let applied = match node.control.propose(Command::Order(change.clone())).await {
        Ok(Reply::Order(order::Reply::Done)) => true,
        Ok(reply) => {
            info!("orders: change {change:?} was not applied: {reply:?}");
            false
        }
        Err(error) => {
            warn!("orders: change {change:?} was not confirmed: {error}");
            time::sleep(COMMIT_RETRY_DELAY).await;
            false
        }
    };
    node.dispatcher().committed(&change, applied, node.clock.now());
    node.orders_wake.notify_one();
}

/// Sends an order to its receiver and reports the outcome to the dispatcher.
async fn send_order(node: Arc<Node>, permit: Permit) {
    node.record(event::Kind::OrderSent { order: permit.id.clone(), term: permit.fence });
    let outcome = receiver::send_order(&node, &permit).await;
    info!("orders: attempt to send {} under term {}: {outcome:?}", permit.id, permit.fence);
    node.dispatcher().sent(&permit, outcome, node.clock.now());
    node.orders_wake.notify_one();
}

/// Queries the receiver for the outcome of an order and reports it to the dispatcher.
async fn inquire(node: Arc<Node>, id: OrderId, action: Action) {
    let outcome = receiver::inquire(&node, &id, &action).await;
    node.dispatcher().inquired(&id, outcome, node.clock.now());
    node.orders_wake.notify_one();
}
