//! Orders that the leader sends to the platform and to engines.
//!
//! An order is committed as an intent before it is sent, and settled with its outcome afterwards.

mod action;
mod billing_period;
mod change;

pub use self::{
    action::Action,
    billing_period::{BillingPeriod, BillingPeriods, MAX_ENDED_BILLING_PERIODS},
    change::{Change, Reply},
};

use catkinlatch_base::{OrderId, TargetId, Term, derive_value, invariant};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of settled orders that are retained; the oldest are dropped first.
pub const MAX_SETTLED_ORDERS: usize = 4096;

/// Maximum number of open orders.
pub const MAX_OPEN_ORDERS: usize = 2048;

derive_value! {
    /// The progress of an order.
    #[derive(Copy, Eq)]
    pub enum Stage {
        /// The intent is committed, and the order may have been sent.
        Intended,
        /// The receiver confirmed the order.
        Done,
        /// The receiver refused the order, or it was never sent.
        Failed,
        /// The platform currently has no capacity of the requested kind.
        Unavailable,
        /// The outcome is not known; reconciliation acts on the observed state.
        Unknown,
    }
}

derive_value! {
    /// An order with its progress.
    pub struct Order {
        /// The requested action.
        pub action: Action,
        /// The fencing token: the term of the leader that committed or adopted the intent.
        pub term: Term,
        /// Progress of the order.
        pub stage: Stage,
        /// Target that the platform named in its answer, if any.
        pub target: Option<TargetId>,
        /// Time at which the intent was proposed, in milliseconds since the Unix epoch.
        pub intended_ms: u64,
        /// Time of the last settlement, in milliseconds since the Unix epoch; `None` while the
        /// order is open.
        pub settled_ms: Option<u64>,
    }
}

derive_value! {
    /// The open and the recently settled orders.
    ///
    /// Holds at most [`MAX_OPEN_ORDERS`] open orders and [`MAX_SETTLED_ORDERS`] settled ones.
    ///
    /// ```
    /// use catkinlatch_base::Term;
    /// use catkinlatch_state::order::{Action, Change, Orders, Reply};
    ///
    /// let mut orders = Orders::default();
    /// let action = Action::Stop { target: "engine-1".parse().expect("the id is valid") };
    /// let id = "stop-1".parse().expect("the id is valid");
    /// let intent = Change::Intend { id, action, term: Term::new(3), at_ms: 5 };
    /// assert_eq!(orders.apply(&intent), Reply::Done);
    /// assert_eq!(orders.open().count(), 1);
    /// ```
    #[derive(Default)]
    pub struct Orders {
        orders: BTreeMap<OrderId, Order>,
        settled: VecDeque<OrderId>,
        term: Term,
        billing_periods: BillingPeriods,
    }
}

impl Orders {
    /// Returns the open and the retained settled orders.
    pub fn list(&self) -> &BTreeMap<OrderId, Order> {
        &self.orders
    }

    /// Returns the orders whose outcome is not recorded.
    pub fn open(&self) -> impl Iterator<Item = (&OrderId, &Order)> {
        self.orders.iter().filter(|(_, order)| order.stage == Stage::Intended)
    }

    /// Returns the billed period of each target.
    pub fn billing_periods(&self) -> &BillingPeriods {
        &self.billing_periods
    }

    /// Returns the highest term that committed or adopted an intent; zero if there is none.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Applies a change and returns its result.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Intend { id, action, term, at_ms } => self.intend(id, action, *term, *at_ms),
            Change::Adopt { id, term } => self.adopt(id, *term),
            Change::Settle { id, stage, target, at_ms } => {
                self.settle(id, *stage, target.as_ref(), *at_ms)
            }
            Change::Drain { target, at_ms } => done_if(self.billing_periods.drain(target, *at_ms)),
            Change::End { target, at_ms } => done_if(self.billing_periods.end(target, *at_ms)),
        }
    }

    fn intend(&mut self, id: &OrderId, action: &Action, term: Term, at_ms: u64) -> Reply {
        if term < self.term {
            return Reply::Superseded;
        }
        if let Some(earlier) = self.orders.get(id) {
            return Reply::Exists(earlier.clone());
        }
        if self.orders.len() - self.settled.len() >= MAX_OPEN_ORDERS {
            return Reply::Full;
        }
        self.term = term;
        let order = Order {
            action: action.clone(),
            term,
            stage: Stage::Intended,
            target: None,
            intended_ms: at_ms,
            settled_ms: None,
        };
        self.settle_older_loads(action, at_ms);
        self.orders.insert(id.clone(), order);
        Reply::Done
    }

    /// Settles open orders that load the same model into the same engine, as [`Stage::Unknown`].
    ///
    /// Otherwise a later leader could resend an older load after the newer one.
    fn settle_older_loads(&mut self, action: &Action, at_ms: u64) {
        let Action::LoadVersion { target, model, .. } = action else { return };
        let is_older = |order: &Order| {
            matches!(&order.action, Action::LoadVersion { target: t, model: m, .. }
                if t == target && m == model)
        };
        let older = self.open().filter(|(_, order)| is_older(order));
        let older: Vec<OrderId> = older.map(|(id, _)| id.clone()).collect();
        for id in older {
            self.settle(&id, Stage::Unknown, None, at_ms);
        }
    }

    fn adopt(&mut self, id: &OrderId, term: Term) -> Reply {
        if term < self.term {
            return Reply::Superseded;
        }
        let Some(order) = self.orders.get_mut(id) else { return Reply::NotFound };
        if order.stage != Stage::Intended {
            return Reply::Exists(order.clone());
        }
        invariant!(
            "order fencing numbers only grow",
            order.term <= term,
            "order {id} has term {}, which is higher than the adopting term {term}",
            order.term
        );
        self.term = term;
        order.term = term;
        Reply::Done
    }

    fn settle(
        &mut self,
        id: &OrderId,
        stage: Stage,
        target: Option<&TargetId>,
        at_ms: u64,
    ) -> Reply {
        let Some(order) = self.orders.get_mut(id) else { return Reply::NotFound };
        match order.stage {
            Stage::Intended if stage != Stage::Intended => self.settled.push_back(id.clone()),
            Stage::Unknown if stage != Stage::Intended => {}
            _ => return Reply::Exists(order.clone()),
        }
        order.stage = stage;
        order.target = target.cloned();
        order.settled_ms = Some(at_ms);
        let order = order.clone();
        if stage == Stage::Done {
            self.update_billing_periods(id, &order, at_ms);
        }
        self.evict_settled();
        Reply::Done
    }

    /// Begins or ends the billing period of the target that an order started or stopped.
    fn update_billing_periods(&mut self, id: &OrderId, order: &Order, at_ms: u64) {
        match (&order.action, &order.target) {
            (Action::Start { role, zone, price_class }, Some(target)) => {
                let period = BillingPeriod {
                    order: id.clone(),
                    role: role.clone(),
                    zone: zone.clone(),
                    price_class: price_class.clone(),
                    from_ms: order.intended_ms,
                    draining_ms: None,
                    until_ms: None,
                };
                self.billing_periods.begin(target, period);
            }
            (Action::Stop { target }, _) => {
                self.billing_periods.end(target, at_ms);
            }
            (Action::Start { .. } | Action::LoadVersion { .. } | Action::Report { .. }, _) => {}
        }
    }

    /// Drops settled orders beyond [`MAX_SETTLED_ORDERS`], oldest first.
    fn evict_settled(&mut self) {
        while self.settled.len() > MAX_SETTLED_ORDERS {
            if let Some(oldest) = self.settled.pop_front() {
                self.orders.remove(&oldest);
            }
        }
    }
}

fn done_if(found: bool) -> Reply {
    if found { Reply::Done } else { Reply::NotFound }
}
