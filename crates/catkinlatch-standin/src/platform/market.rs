//! The platform's targets: started and stopped on order, taken back on its own account.

use catkinlatch_base::{OrderId, TargetId, Term, ZoneId};
use catkinlatch_fleet::placement::Listed;
use catkinlatch_node::order::{PlatformAction, PlatformOrder, Receipt, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// A target that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// How the platform lists it.
    pub listed: Listed,
}

/// An order that came.
#[derive(Clone, Debug, PartialEq)]
pub struct Handled {
    /// The order.
    pub order: PlatformOrder,
    /// What was answered, or would have been.
    pub receipt: Receipt,
}

/// The platform's targets and the orders that it took.
///
/// An order that comes again under the same id gets the first answer again.
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
    /// Creates a platform without targets that refuses old fencing numbers, or ignores them.
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

    /// Returns the targets that run.
    pub fn running(&self) -> impl Iterator<Item = &Run> {
        self.running.values()
    }

    /// Returns the orders that came, in order.
    pub fn handled(&self) -> &[Handled] {
        &self.handled
    }

    /// Returns what became of an order.
    pub fn receipt(&self, order: &OrderId) -> Option<&Receipt> {
        self.receipts.get(order)
    }

    /// Carries out an order, unless it came before or its fencing number is old.
    pub fn take(&mut self, order: PlatformOrder) -> Receipt {
        let receipt = self.answer(&order);
        self.receipts.insert(order.order.clone(), receipt.clone());
        self.handled.push(Handled { order, receipt: receipt.clone() });
        receipt
    }

    /// Sets whether a zone has targets of a price class to give.
    pub fn set_available(&mut self, zone: &ZoneId, price_class: &str, is_available: bool) {
        let key = (zone.clone(), price_class.to_owned());
        if is_available {
            self.unavailable.remove(&key);
        } else {
            self.unavailable.insert(key);
        }
    }

    /// Gives notice that all targets of a zone and price class are taken back.
    pub fn give_notice(&mut self, zone: &ZoneId, price_class: &str, reclaim_in_ms: u64) {
        let is_of = |run: &&mut Run| is_of(run, zone, price_class);
        let noticed = self.running.values_mut().filter(is_of);
        noticed.for_each(|run| run.listed.reclaim_in_ms = Some(reclaim_in_ms));
    }

    /// Takes back all targets of a zone and price class.
    pub fn reclaim(&mut self, zone: &ZoneId, price_class: &str) {
        self.running.retain(|_, run| !is_of(run, zone, price_class));
    }

    fn answer(&mut self, order: &PlatformOrder) -> Receipt {
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

fn is_of(run: &Run, zone: &ZoneId, price_class: &str) -> bool {
    run.listed.zone == *zone && run.listed.price_class == price_class
}
