//! Changes of the orders, and what became of them.

use super::{Action, Order, Stage};
use catkinlatch_base::{OrderId, TargetId, Term, derive_value};

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
            /// When it was proposed, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// Puts an open order of an earlier leader under the fencing number of the present one.
        Adopt {
            /// The order's id.
            id: OrderId,
            /// The fencing number.
            term: Term,
        },
        /// Records what became of an order; an unknown outcome may be settled again.
        Settle {
            /// The order's id.
            id: OrderId,
            /// What became of it.
            stage: Stage,
            /// The target that the platform named in its answer.
            target: Option<TargetId>,
            /// When it was proposed, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// Records that a target is to get no new work.
        Drain {
            /// The target.
            target: TargetId,
            /// When it was proposed, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
        /// Records that a target ended without an order, as when the platform takes it back.
        End {
            /// The target.
            target: TargetId,
            /// When it was seen to be gone, in milliseconds since the Unix epoch.
            at_ms: u64,
        },
    }
}

impl Change {
    /// Returns the order that the change is about, if it is about one.
    pub fn id(&self) -> Option<&OrderId> {
        match self {
            Self::Intend { id, .. } | Self::Adopt { id, .. } | Self::Settle { id, .. } => Some(id),
            Self::Drain { .. } | Self::End { .. } => None,
        }
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The change was made.
        Done,
        /// An order of this id stood before, or is settled already.
        Exists(Order),
        /// No order has this id.
        NotFound,
        /// A leader of a higher term has given orders since.
        Superseded,
        /// Too many orders are open; settle some first.
        Full,
    }
}
