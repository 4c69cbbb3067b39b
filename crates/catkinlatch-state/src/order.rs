//! Orders: committed as an intent before they are sent, and settled afterwards.

mod action;
mod change;
mod tenure;

pub use self::{
    action::Action,
    change::{Change, Reply},
    tenure::{KEPT_ENDED, Tenure, Tenures},
};

use catkinlatch_base::{OrderId, TargetId, Term, derive_value, invariant};
use std::collections::{BTreeMap, VecDeque};

/// How many settled orders are kept; the oldest are dropped first.
pub const KEPT_SETTLED: usize = 4096;

/// How many orders may be open at one time.
pub const MAX_OPEN: usize = 2048;

derive_value! {
    /// Where an order stands.
    #[derive(Copy, Eq)]
    pub enum Stage {
        /// The order may have been sent.
        Intended,
        /// The receiver confirmed the order.
        Done,
        /// The receiver refused the order, or it was never sent.
        Failed,
        /// The platform has nothing of this kind to give at present.
        Unavailable,
        /// Nobody answered; reconciliation decides by what is seen.
        Unknown,
    }
}

derive_value! {
    /// One order.
    pub struct Order {
        /// What it asks for.
        pub action: Action,
        /// The fencing number: the term of the leader that committed or adopted the intent.
        pub term: Term,
        /// Where it stands.
        pub stage: Stage,
        /// The target that the platform named in its answer.
        pub target: Option<TargetId>,
        /// When the intent was committed, in milliseconds since the Unix epoch.
        pub intended_ms: u64,
        /// When it was settled, in milliseconds since the Unix epoch.
        pub settled_ms: Option<u64>,
    }
}

derive_value! {
    /// All orders that are open or were settled lately.
    ///
    /// At most [`MAX_OPEN`] orders are open and [`KEPT_SETTLED`] settled ones are kept.
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
        tenures: Tenures,
    }
}

impl Orders {
    /// Returns all orders.
    pub fn list(&self) -> &BTreeMap<OrderId, Order> {
        &self.orders
    }

    /// Returns the orders whose outcome is not recorded.
    pub fn open(&self) -> impl Iterator<Item = (&OrderId, &Order)> {
        self.orders.iter().filter(|(_, order)| order.stage == Stage::Intended)
    }

    /// Returns for how long each target costs money.
    pub fn tenures(&self) -> &Tenures {
        &self.tenures
    }

    /// Returns the highest term that committed an intent; zero if none did.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Intend { id, action, term, at_ms } => self.intend(id, action, *term, *at_ms),
            Change::Adopt { id, term } => self.adopt(id, *term),
            Change::Settle { id, stage, target, at_ms } => {
                self.settle(id, *stage, target.as_ref(), *at_ms)
            }
            Change::Drain { target, at_ms } => found(self.tenures.drain(target, *at_ms)),
            Change::End { target, at_ms } => found(self.tenures.end(target, *at_ms)),
        }
    }

    fn intend(&mut self, id: &OrderId, action: &Action, term: Term, at_ms: u64) -> Reply {
        if term < self.term {
            return Reply::Superseded;
        }
        if let Some(earlier) = self.orders.get(id) {
            return Reply::Exists(earlier.clone());
        }
        if self.orders.len() - self.settled.len() >= MAX_OPEN {
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
        self.end_older_loads(action, at_ms);
        self.orders.insert(id.clone(), order);
        Reply::Done
    }

    /// Ends open orders that load other weights into the same engine.
    ///
    /// A later leader would otherwise resend an older load after the newer one.
    fn end_older_loads(&mut self, action: &Action, at_ms: u64) {
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
            "order {id} has term {}, adopted under {term}",
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
            self.account(id, &order, at_ms);
        }
        self.forget();
        Reply::Done
    }

    /// Begins or ends the tenure of the target that an order started or stopped.
    fn account(&mut self, id: &OrderId, order: &Order, at_ms: u64) {
        match (&order.action, &order.target) {
            (Action::Start { role, zone, price_class }, Some(target)) => {
                let tenure = Tenure {
                    order: id.clone(),
                    role: role.clone(),
                    zone: zone.clone(),
                    price_class: price_class.clone(),
                    from_ms: order.intended_ms,
                    draining_ms: None,
                    until_ms: None,
                };
                self.tenures.begin(target, tenure);
            }
            (Action::Stop { target }, _) => {
                self.tenures.end(target, at_ms);
            }
            (Action::Start { .. } | Action::LoadVersion { .. } | Action::Report { .. }, _) => {}
        }
    }

    /// Drops the settled orders beyond the bound, oldest first.
    fn forget(&mut self) {
        while self.settled.len() > KEPT_SETTLED {
            if let Some(oldest) = self.settled.pop_front() {
                self.orders.remove(&oldest);
            }
        }
    }
}

fn found(is_found: bool) -> Reply {
    if is_found { Reply::Done } else { Reply::NotFound }
}
