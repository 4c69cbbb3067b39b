//! Changes to the orders and their results.

use super::{Action, Order, Stage};
use catkinlatch_base::{OrderId, TargetId, Term, derive_value};

derive_value! {
    /// A change to the orders or to the billing periods of targets.
    pub enum Change {
        /// Records the intent to send an order.
        Intend {
            /// Id of the order.
            id: OrderId,
            /// The requested action.
            action: Action,
            /// Fencing token: the term of the proposing leader.
            term: Term,
            /// Time of the proposal, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// Moves an open order of an earlier leader to the fencing token of the current one.
        Adopt {
            /// Id of the order.
            id: OrderId,
            /// Fencing token: the term of the adopting leader.
            term: Term,
        },
        /// Records the outcome of an order; [`Stage::Unknown`] may be settled again.
        Settle {
            /// Id of the order.
            id: OrderId,
            /// The outcome; [`Stage::Intended`] is refused with [`Reply::Exists`].
            stage: Stage,
            /// Target that the platform named in its answer, if any.
            target: Option<TargetId>,
            /// Time of the proposal, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// Records that a target accepts no new work.
        Drain {
            /// Target that is drained.
            target: TargetId,
            /// Time of the proposal, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// Records that a target ended without an order, such as when the platform reclaims it.
        End {
            /// Target that ended.
            target: TargetId,
            /// Time at which the target was found to be gone, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
    }
}

impl Change {
    /// Returns the order that the change refers to; `None` if it refers to a target.
    pub fn id(&self) -> Option<&OrderId> {
        match self {
            Self::Intend { id, .. } | Self::Adopt { id, .. } | Self::Settle { id, .. } => Some(id),
            Self::Drain { .. } | Self::End { .. } => None,
        }
    }
}

derive_value! {
    /// The result of a change.
    pub enum Reply {
        /// The change was applied.
        Done,
        /// An order with this id already exists or is already settled.
        Exists(Order),
        /// There is no order with this id, or the target has no running billing period.
        NotFound,
        /// A leader of a higher term has since committed or adopted an order.
        Superseded,
        /// [`MAX_OPEN_ORDERS`](super::MAX_OPEN_ORDERS) orders are open.
        Full,
    }
}
