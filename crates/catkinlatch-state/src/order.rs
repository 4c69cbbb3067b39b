//! Orders: committed as an intent before they are sent, and settled afterwards.

use catkinlatch_base::{ModelId, OrderId, TargetId, Term, Version, ZoneId, derive_value};
use std::collections::BTreeMap;

derive_value! {
    /// What an order asks for.
    pub enum Action {
        /// Asks the platform to start a target.
        Start {
            /// The model or service that it shall serve.
            role: String,
            /// The zone.
            zone: ZoneId,
            /// The price class.
            price_class: String,
        },
        /// Asks the platform to stop a target.
        Stop {
            /// The target.
            target: TargetId,
        },
        /// Asks an engine to load weights.
        LoadVersion {
            /// The engine.
            target: TargetId,
            /// The model.
            model: ModelId,
            /// The version.
            version: Version,
        },
    }
}

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
        /// Nobody answered; reconciliation decides by what is seen.
        Unknown,
    }
}

derive_value! {
    /// One order.
    pub struct Order {
        /// What it asks for.
        pub action: Action,
        /// The fencing number: the term of the leader that committed the intent.
        pub term: Term,
        /// Where it stands.
        pub stage: Stage,
    }
}

derive_value! {
    /// A change of the orders.
    pub enum Change {
        /// Records the intent to send an order.
        Intend {
            /// The order's id.
            id: OrderId,
            /// What it asks for.
            action: Action,
            /// The fencing number.
            term: Term,
        },
        /// Records what became of an order.
        Settle {
            /// The order's id.
            id: OrderId,
            /// What became of it.
            stage: Stage,
        },
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The change was made.
        Done,
        /// An order of this id stood before.
        Exists(Order),
        /// No order has this id.
        NotFound,
        /// A leader of a higher term has given orders since.
        Superseded,
    }
}

derive_value! {
    /// All orders that are open or were settled lately.
    #[derive(Default)]
    pub struct Orders {
        orders: BTreeMap<OrderId, Order>,
        term: Term,
    }
}

impl Orders {
    /// Returns all orders.
    pub fn list(&self) -> &BTreeMap<OrderId, Order> {
        &self.orders
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Intend { id, action, term } => self.intend(id, action, *term),
            Change::Settle { id, stage } => match self.orders.get_mut(id) {
                Some(order) => {
                    order.stage = *stage;
                    Reply::Done
                }
                None => Reply::NotFound,
            },
        }
    }

    fn intend(&mut self, id: &OrderId, action: &Action, term: Term) -> Reply {
        if term < self.term {
            return Reply::Superseded;
        }
        if let Some(earlier) = self.orders.get(id) {
            return Reply::Exists(earlier.clone());
        }
        self.term = term;
        let order = Order { action: action.clone(), term, stage: Stage::Intended };
        self.orders.insert(id.clone(), order);
        Reply::Done
    }
}
