//! The steps that the order dispatcher requests from its caller.

use super::Permit;
use catkinlatch_base::{Instant, OrderId, derive_value};
use catkinlatch_state::order::{Action, Change};

derive_value! {
    /// The next step that the order dispatcher requests.
    pub enum Step {
        /// This process holds no lease; do nothing until it does.
        StandDown,
        /// Do nothing before this time, unless the state changes.
        Wait(Instant),
        /// Do nothing until an order is submitted or the state changes.
        Idle,
        /// Commit this change, then call [`Dispatcher::committed`](super::Dispatcher::committed).
        Commit(Change),
        /// Send an order, after checking the permit right before the write; then call
        /// [`Dispatcher::sent`](super::Dispatcher::sent).
        Send(Permit),
        /// Ask the receiver about an order, then call
        /// [`Dispatcher::inquired`](super::Dispatcher::inquired).
        Inquire {
            /// The id of the order.
            id: OrderId,
            /// The action that was ordered.
            action: Action,
        },
    }
}
