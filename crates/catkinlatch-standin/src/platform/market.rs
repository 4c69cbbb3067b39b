//! The targets of the stand-in platform, which are started and stopped by orders, and which the
//! platform may reclaim.

use catkinlatch_base::{OrderId, TargetId, Term, ZoneId};
use catkinlatch_fleet::placement::Listed;
use catkinlatch_node::order::{PlatformAction, PlatformOrder, Receipt, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// A running target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The target's entry in the platform's list.
    pub listed: Listed,
}

/// An order that was received, and its receipt.
#[derive(Clone, Debug, PartialEq)]
pub struct Handled {
    /// The order as received.
    pub order: PlatformOrder,
    /// The receipt, even if a fault kept it from being sent.
    pub receipt: Receipt,
}

/// The targets of the platform and the orders that it received.
///
/// Orders are idempotent: a repeated order id gets the first receipt again.
///
/// ```
/// use catkinlatch_standin::platform::Market;
///
/// let market = Market::new(true);
/// assert_eq!(market.running().count(), 0);
/// ```
#[derive(Debug)]
pub struct Market {
    checks_fencing: bool,
    fence: Term,
    running: BTreeMap<TargetId, Run>,
    receipts: BTreeMap<OrderId, Receipt>,
    handled: Vec<Handled>,
    unavailable: BTreeSet<(ZoneId, String)>,
}

impl Market {
    /// Creates a market without targets; `checks_fencing` is whether it refuses orders with an old
    /// fencing token.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            fence: Term::default(),
            running: BTreeMap::new(),
            receipts: BTreeMap::new(),
            handled: Vec::new(),
            unavailable: BTreeSet::new(),
        }
    }

    /// Returns the running targets, by id.
    pub fn running(&self) -> impl Iterator<Item = &Run> {
        self.running.values()
    }

    /// Returns the orders that were received, in order, including repeated ones.
    pub fn handled(&self) -> &[Handled] {
        &self.handled
    }

    /// Returns the receipt of an order, or `None` if the order was never received.
    pub fn receipt(&self, order: &OrderId) -> Option<&Receipt> {
        self.receipts.get(order)
    }

    /// Executes an order, unless its id was received before or its fencing token is old, and
    /// returns its receipt.
    pub fn submit(&mut self, order: PlatformOrder) -> Receipt {
        let receipt = self.execute(&order);
        self.receipts.insert(order.order.clone(), receipt.clone());
        self.handled.push(Handled { order, receipt: receipt.clone() });
        receipt
    }

    /// Sets whether targets of a price class can be started in a zone.
    pub fn set_available(&mut self, zone: &ZoneId, price_class: &str, is_available: bool) {
        let key = (zone.clone(), price_class.to_owned());
        if is_available {
            self.unavailable.remove(&key);
        } else {
            self.unavailable.insert(key);
        }
    }

    /// Announces that all targets of a zone and price class will be reclaimed after this time, in
    /// milliseconds.
    pub fn give_notice(&mut self, zone: &ZoneId, price_class: &str, reclaim_in_ms: u64) {
        let belongs_to = |run: &&mut Run| belongs_to(run, zone, price_class);
        let noticed = self.running.values_mut().filter(belongs_to);
        noticed.for_each(|run| run.listed.reclaim_in_ms = Some(reclaim_in_ms));
    }

    /// Reclaims all targets of a zone and price class at once.
    pub fn reclaim(&mut self, zone: &ZoneId, price_class: &str) {
        self.running.retain(|_, run| !belongs_to(run, zone, price_class));
    }

    fn execute(&mut self, order: &PlatformOrder) -> Receipt {
        if let Some(earlier) = self.receipts.get(&order.order) {
            return earlier.clone();
        }
        if self.checks_fencing && order.fence < self.fence {
            return Receipt { verdict: Verdict::Refused, target: None };
        }
        self.fence = self.fence.max(order.fence);
        match &order.ask {
            PlatformAction::Start { role, zone, price_class } => {
                self.start(&order.order, role, zone, price_class)
            }
            PlatformAction::Stop { target } => self.stop(target),
        }
    }

    fn start(&mut self, order: &OrderId, role: &str, zone: &ZoneId, price_class: &str) -> Receipt {
        if self.unavailable.contains(&(zone.clone(), price_class.to_owned())) {
            return Receipt { verdict: Verdict::Unavailable, target: None };
        }
        let target: TargetId = format!("of-{order}").parse().expect("an order id is short");
        let listed = Listed {
            target: target.clone(),
            order: Some(order.clone()),
            role: role.to_owned(),
            zone: zone.clone(),
            price_class: price_class.to_owned(),
            reclaim_in_ms: None,
        };
        self.running.insert(target.clone(), Run { listed });
        Receipt { verdict: Verdict::Taken, target: Some(target) }
    }

    fn stop(&mut self, target: &TargetId) -> Receipt {
        self.running.remove(target);
        Receipt { verdict: Verdict::Taken, target: Some(target.clone()) }
    }
}

fn belongs_to(run: &Run, zone: &ZoneId, price_class: &str) -> bool {
    run.listed.zone == *zone && run.listed.price_class == price_class
}
