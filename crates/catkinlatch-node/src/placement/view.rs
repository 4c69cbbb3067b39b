//! The targets of a pool, from orders, the platform's list and announcements.

use crate::Node;
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_fleet::placement::{Listed, Phase, Pool, Target};
use catkinlatch_route::target::Role;
use catkinlatch_state::order::{Action, Orders, Stage, Tenure};
use std::collections::BTreeMap;

/// Returns the targets of a pool and its open start orders.
pub fn targets(
    node: &Node,
    orders: &Orders,
    pool: &Pool,
    listed: &BTreeMap<TargetId, Listed>,
) -> Vec<Target> {
    let announced = announced(node, &pool.role);
    let of_pool = |(_, tenure): &(&TargetId, &Tenure)| tenure.role == pool.role;
    let running = orders.tenures().running().filter(of_pool).map(|(id, tenure)| {
        let phase = match tenure.draining_ms {
            Some(since) => Phase::Draining { since: moment(node, since) },
            None if announced.contains_key(id) => Phase::Ready,
            None => Phase::Starting,
        };
        let is_reclaimed = listed.get(id).is_some_and(|listed| listed.reclaim_in_ms.is_some());
        Target {
            id: Some(id.clone()),
            zone: tenure.zone.clone(),
            price_class: tenure.price_class.clone(),
            phase,
            started: moment(node, tenure.from_ms),
            is_idle: false,
            is_reclaimed,
        }
    });
    running.chain(open_starts(node, orders, pool)).collect()
}

/// Returns the slots of one target of a model that announced itself, and how many did.
pub fn capacity(node: &Node, role: &str) -> (u32, usize) {
    let announced = announced(node, role);
    (announced.values().copied().max().unwrap_or(1), announced.len())
}

fn open_starts(node: &Node, orders: &Orders, pool: &Pool) -> Vec<Target> {
    let open = orders
        .list()
        .values()
        .filter(|order| matches!(order.stage, Stage::Intended | Stage::Unknown));
    let start = |order: &catkinlatch_state::order::Order| match &order.action {
        Action::Start { role, zone, price_class } if *role == pool.role => Some(Target {
            id: None,
            zone: zone.clone(),
            price_class: price_class.clone(),
            phase: Phase::Starting,
            started: moment(node, order.intended_ms),
            is_idle: false,
            is_reclaimed: false,
        }),
        _ => None,
    };
    open.filter_map(start).collect()
}

/// Returns the slots of each target of a model that announced itself.
fn announced(node: &Node, model: &str) -> BTreeMap<TargetId, u32> {
    let table = node.table();
    let entries = table.entries().map(|(_, entry)| &entry.announcement);
    let of_model =
        entries.filter(|a| matches!(&a.role, Role::Engine { model: m, .. } if m.as_str() == model));
    of_model.map(|announcement| (announcement.id.clone(), announcement.slots)).collect()
}

/// Returns a moment of the clock of the day on this node's monotonic clock.
fn moment(node: &Node, wall_ms: u64) -> Instant {
    let ago_ms = node.clock.wall_ms().saturating_sub(wall_ms);
    Instant::from_millis(node.clock.now().as_millis().saturating_sub(ago_ms))
}
