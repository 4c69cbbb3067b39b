//! What the order desk wants done next.

use super::Permit;
use catkinlatch_base::{Instant, OrderId, derive_value};
use catkinlatch_state::order::{Action, Change};

derive_value! {
    /// What the order desk wants done next.
    pub enum Step {
        /// This process is not in charge: do nothing until it is.
        StandDown,
        /// Nothing may be done before this moment, unless the state changes.
        Wait(Instant),
        /// There is nothing to do until an order is submitted or the state changes.
        Idle,
        /// Commit this change, and tell the desk when it is applied or has failed.
        Commit(Change),
        /// Send an order, checking the permit again right before the write.
        Send(Permit),
        /// Ask the receiver what became of an order.
        Inquire {
            /// The order.
            id: OrderId,
            /// What it asked for.
            action: Action,
        },
    }
}
