//! The targets of a pool, combined from orders, the platform's list and announcements.

use crate::Node;
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_fleet::placement::{Listed, Phase, Pool, Target};
use catkinlatch_route::target::Role;
use catkinlatch_state::order::{Action, BillingPeriod, Orders, Stage};
use std::collections::BTreeMap;

/// Returns the running targets of a pool, and a starting target for each open start order.
pub fn targets(
    node: &Node,
    orders: &Orders,
    pool: &Pool,
    listed: &BTreeMap<TargetId, Listed>,
) -> Vec<Target> {
    let announced = announced_slots(node, &pool.role);
    let of_pool = |(_, period): &(&TargetId, &BillingPeriod)| period.role == pool.role;
    let running = orders.billing_periods().running().filter(of_pool).map(|(id, period)| {
        let phase = match period.draining_ms {
            Some(since) => Phase::Draining { since: monotonic_time(node, since) },
            None if announced.contains_key(id) => Phase::Ready,
            None => Phase::Starting,
        };
        let is_reclaimed = listed.get(id).is_some_and(|listed| listed.reclaim_in_ms.is_some());
        Target {
            id: Some(id.clone()),
            zone: period.zone.clone(),
            price_class: period.price_class.clone(),
            phase,
            started: monotonic_time(node, period.from_ms),
            is_idle: false,
            is_reclaimed,
        }
    });
    running.chain(open_starts(node, orders, pool)).collect()
}

/// Returns the slots of a target of a model, and the number of its announced targets.
///
/// The slots are the most that any of them announced, or 1 if there is none.
pub fn capacity(node: &Node, role: &str) -> (u32, usize) {
    let announced = announced_slots(node, role);
    (announced.values().copied().max().unwrap_or(1), announced.len())
}

/// Returns a starting target for each start order of the pool whose outcome is open.
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
            started: monotonic_time(node, order.intended_ms),
            is_idle: false,
            is_reclaimed: false,
        }),
        _ => None,
    };
    open.filter_map(start).collect()
}

/// Returns the slots of each announced target of a model.
fn announced_slots(node: &Node, model: &str) -> BTreeMap<TargetId, u32> {
    let table = node.table();
    let entries = table.entries().map(|(_, entry)| &entry.announcement);
    let of_model =
        entries.filter(|a| matches!(&a.role, Role::Engine { model: m, .. } if m.as_str() == model));
    of_model.map(|announcement| (announcement.id.clone(), announcement.slots)).collect()
}

/// Converts a wall-clock time in milliseconds since the Unix epoch to the monotonic clock.
fn monotonic_time(node: &Node, wall_ms: u64) -> Instant {
    let ago_ms = node.clock.wall_ms().saturating_sub(wall_ms);
    Instant::from_millis(node.clock.now().as_millis().saturating_sub(ago_ms))
}
