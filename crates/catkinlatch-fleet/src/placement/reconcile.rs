//! Compares orders with the platform's list of targets and with the targets' announcements.

use catkinlatch_base::{OrderId, TargetId, ZoneId, derive_schema, derive_value};
use catkinlatch_state::order::{Action, Order, Orders, Stage};
use std::collections::{BTreeMap, BTreeSet};

derive_schema! {
    /// A target on the platform's list.
    #[derive(Eq)]
    pub struct Listed {
        /// The id of the target.
        pub target: TargetId,
        /// The order that started the target, if known.
        pub order: Option<OrderId>,
        /// The model or service that the target serves.
        pub role: String,
        /// The zone in which the target runs.
        pub zone: ZoneId,
        /// The platform's price class, by name.
        pub price_class: String,
        /// In how many milliseconds the platform will reclaim the target, if it gave notice.
        pub reclaim_in_ms: Option<u64>,
    }
}

derive_value! {
    /// A difference between the orders and the observed targets.
    #[derive(Eq)]
    pub enum Mismatch {
        /// The outcome of an order was unknown and can now be determined.
        Settle {
            /// The id of the order.
            order: OrderId,
            /// The final stage of the order.
            stage: Stage,
            /// The target that the order started, if any.
            target: Option<TargetId>,
        },
        /// A target ended without a stop order.
        Ended(TargetId),
        /// A target is running, and so incurs cost, but did not announce itself in time.
        Unannounced(TargetId),
        /// A target is running that no known order started.
        Orphaned(TargetId),
    }
}

/// Returns the differences between the orders and the observed targets.
///
/// All times are in milliseconds. `asked_ms` is when the platform was asked for its list, since the
/// Unix epoch; the list may not reflect what was ordered less than `settle_ms` earlier. A target
/// must announce itself within `announce_ms` of its order.
pub fn reconcile(
    orders: &Orders,
    listed: &[Listed],
    announced: &BTreeSet<TargetId>,
    asked_ms: u64,
    settle_ms: u64,
    announce_ms: u64,
) -> Vec<Mismatch> {
    let by_target: BTreeMap<&TargetId, &Listed> = listed.iter().map(|l| (&l.target, l)).collect();
    let by_order: BTreeMap<&OrderId, &Listed> =
        listed.iter().filter_map(|l| l.order.as_ref().map(|order| (order, l))).collect();
    let mut mismatches = Vec::new();
    for (id, order) in orders.list().iter().filter(|(_, o)| o.stage == Stage::Unknown) {
        let is_old = order.settled_ms.is_some_and(|at| at + settle_ms <= asked_ms);
        mismatches.extend(settlement(id, order, &by_order, &by_target, is_old));
    }
    for (target, period) in orders.billing_periods().running() {
        if !by_target.contains_key(target) {
            let is_old = period.from_ms + settle_ms <= asked_ms;
            mismatches.extend(is_old.then(|| Mismatch::Ended(target.clone())));
        } else if !announced.contains(target) && period.from_ms + announce_ms <= asked_ms {
            mismatches.push(Mismatch::Unannounced(target.clone()));
        }
    }
    let is_known = |l: &&Listed| {
        let order = l.order.as_ref().and_then(|order| orders.list().get(order));
        order.is_some() || orders.billing_periods().list().contains_key(&l.target)
    };
    let orphaned =
        listed.iter().filter(|l| !is_known(l)).map(|l| Mismatch::Orphaned(l.target.clone()));
    mismatches.extend(orphaned);
    mismatches
}

/// Returns the settlement of an order whose outcome was unknown, if the list determines it.
fn settlement(
    id: &OrderId,
    order: &Order,
    by_order: &BTreeMap<&OrderId, &Listed>,
    by_target: &BTreeMap<&TargetId, &Listed>,
    is_old: bool,
) -> Option<Mismatch> {
    let (stage, target) = match &order.action {
        Action::Start { .. } => match by_order.get(id) {
            Some(listed) => (Stage::Done, Some(listed.target.clone())),
            None if is_old => (Stage::Failed, None),
            None => return None,
        },
        Action::Stop { target } if !by_target.contains_key(target) => (Stage::Done, None),
        Action::Stop { .. } if is_old => (Stage::Failed, None),
        Action::Stop { .. } | Action::LoadVersion { .. } | Action::Report { .. } => return None,
    };
    Some(Mismatch::Settle { order: id.clone(), stage, target })
}
