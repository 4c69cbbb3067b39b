//! Rounds of placement: reconcile orders with the platform's list, plan, then issue orders.

use super::{demand, list, pool, view};
use crate::{Node, order};
use catkinlatch_base::{OrderId, TargetId, Term};
use catkinlatch_fleet::placement::{
    Listed, Mismatch, Offer, Planner, Pool, Step, Timing, reconcile,
};
use catkinlatch_state::{
    Command,
    order::{Action, Change, Stage},
};
use log::{info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tokio::task::JoinSet;

/// How long an order may take to appear in the platform's list, in milliseconds.
const LIST_DELAY_MS: u64 = 10_000;

/// How long a target may take to announce itself after it was ordered, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 600_000;

/// The outcome of a start order; `stage` is absent if the order was dropped or this node no longer
/// leads.
struct StartOutcome {
    role: String,
    offer: Offer,
    stage: Option<Stage>,
}

/// Places targets while this node leads.
#[derive(Default)]
pub struct Placer {
    planners: BTreeMap<String, Planner>,
    starts: JoinSet<StartOutcome>,
    stops: JoinSet<()>,
    orphaned: BTreeSet<TargetId>,
    number: u64,
}

impl Placer {
    /// Runs one round of placement.
    pub async fn run_round(&mut self, node: &Arc<Node>, term: Term) {
        let requested_ms = node.clock.wall_ms();
        let Some(listed) = list::list(node).await else {
            return warn!("placement: no list of targets from the platform; skipped this round");
        };
        self.reconcile(node, &listed, requested_ms, term).await;
        self.collect_starts(node);
        let listed = listed.into_iter().map(|l| (l.target.clone(), l)).collect();
        let pools = pool::pools(node.control.state().config());
        for pool in pools {
            self.plan(node, &pool, &listed, term).await;
        }
    }

    /// Records the outcomes of orders and the ends of targets that the platform's list shows, and
    /// stops targets that did not announce themselves in time.
    async fn reconcile(
        &mut self,
        node: &Arc<Node>,
        listed: &[Listed],
        requested_ms: u64,
        term: Term,
    ) {
        let announced = {
            let table = node.table();
            table.entries().map(|(_, entry)| entry.announcement.id.clone()).collect()
        };
        let state = node.control.state();
        let mismatches = reconcile(
            state.orders(),
            listed,
            &announced,
            requested_ms,
            LIST_DELAY_MS,
            ANNOUNCE_TIMEOUT_MS,
        );
        let at_ms = node.clock.wall_ms();
        for mismatch in mismatches {
            match mismatch {
                Mismatch::Settle { order: id, stage, target } => {
                    commit(node, Change::Settle { id, stage, target, at_ms }).await;
                }
                Mismatch::Ended(target) => {
                    info!("placement: {target} ended without a stop order");
                    commit(node, Change::End { target, at_ms }).await;
                }
                Mismatch::Unannounced(target) => {
                    warn!("placement: stopping {target}, which did not announce itself in time");
                    self.stop(node, target, term);
                }
                Mismatch::Orphaned(target) => {
                    if self.orphaned.insert(target.clone()) {
                        warn!("placement: {target} was not started by an order of this cluster");
                    }
                }
            }
        }
    }

    /// Reports the outcomes of start orders to the planners.
    fn collect_starts(&mut self, node: &Node) {
        while let Some(Ok(started)) = self.starts.try_join_next() {
            let Some(planner) = self.planners.get_mut(&started.role) else { continue };
            let Offer { zone, price_class, .. } = &started.offer;
            match started.stage {
                Some(Stage::Done) => planner.available(zone, price_class),
                Some(Stage::Unavailable | Stage::Failed) => {
                    planner.unavailable(zone, price_class, node.clock.now());
                }
                Some(Stage::Intended | Stage::Unknown) | None => {}
            }
        }
    }

    /// Plans the next steps of a pool and orders them, unless start orders are still in flight.
    async fn plan(
        &mut self,
        node: &Arc<Node>,
        pool: &Pool,
        listed: &BTreeMap<TargetId, Listed>,
        term: Term,
    ) {
        if !self.starts.is_empty() {
            return;
        }
        let state = node.control.state();
        let (slots, ready) = view::capacity(node, &pool.role);
        let window_ms = node.settings.usage_window_ms;
        let demand = demand::demand(&state, pool, slots, ready, window_ms);
        let targets = view::targets(node, state.orders(), pool, listed);
        let new = || Planner::new(Timing::default());
        let planner = self.planners.entry(pool.role.clone()).or_insert_with(new);
        for step in planner.next(pool, &demand, &targets, node.clock.now()) {
            match step {
                Step::Start(offer) => self.start(node, &pool.role, offer, term),
                Step::Drain(target) => {
                    let at_ms = node.clock.wall_ms();
                    commit(node, Change::Drain { target, at_ms }).await;
                }
                Step::Stop(target) => self.stop(node, target, term),
            }
        }
    }

    fn start(&mut self, node: &Arc<Node>, role: &str, offer: Offer, term: Term) {
        self.number += 1;
        let Some(id) = order_id(format!("start-{term}-{}", self.number)) else { return };
        let (node, role) = (node.clone(), role.to_owned());
        self.starts.spawn(async move {
            let (zone, price_class) = (offer.zone.clone(), offer.price_class.clone());
            let action = Action::Start { role: role.clone(), zone, price_class };
            let stage = order::execute(&node, id, action).await;
            StartOutcome { role, offer, stage }
        });
    }

    /// Orders the stop of a target, unless a stop order for it is open.
    fn stop(&mut self, node: &Arc<Node>, target: TargetId, term: Term) {
        while self.stops.try_join_next().is_some() {}
        let state = node.control.state();
        let is_open = state.orders().list().values().any(|order| {
            let is_stop = matches!(&order.action, Action::Stop { target: t } if *t == target);
            is_stop && matches!(order.stage, Stage::Intended | Stage::Unknown)
        });
        if is_open {
            return;
        }
        self.number += 1;
        let Some(id) = order_id(format!("stop-{term}-{}", self.number)) else { return };
        let node = node.clone();
        self.stops.spawn(async move {
            let stage = order::execute(&node, id, Action::Stop { target: target.clone() }).await;
            info!("placement: stop order for {target}: {stage:?}");
        });
    }
}

fn order_id(text: String) -> Option<OrderId> {
    text.parse().ok()
}

async fn commit(node: &Node, change: Change) {
    if let Err(error) = node.control.propose(Command::Order(change)).await {
        warn!("placement: change was not confirmed and will be retried: {error}");
    }
}
