//! The steps that the order desk requests from its caller.

use super::Permit;
use catkinlatch_base::{Instant, OrderId, derive_value};
use catkinlatch_state::order::{Action, Change};

derive_value! {
    /// The next step that the order desk requests.
    pub enum Step {
        /// This process holds no lease; do nothing until it does.
        StandDown,
        /// Do nothing before this time, unless the state changes.
        Wait(Instant),
        /// Do nothing until an order is submitted or the state changes.
        Idle,
        /// Commit this change, then call [`Desk::committed`](super::Desk::committed).
        Commit(Change),
        /// Send an order, after checking the permit right before the write; then call
        /// [`Desk::sent`](super::Desk::sent).
        Send(Permit),
        /// Ask the receiver about an order, then call
        /// [`Desk::inquired`](super::Desk::inquired).
        Inquire {
            /// The id of the order.
            id: OrderId,
            /// The action that was ordered.
            action: Action,
        },
    }
}
