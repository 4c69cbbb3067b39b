//! The right to write one order to its receiver.

use crate::Lease;
use catkinlatch_base::{Instant, OrderId, Term, derive_value};
use catkinlatch_state::order::Action;
use derive_more::{Display, Error};

derive_value! {
    /// The right to write one order, to be checked again right before the write.
    pub struct Permit {
        /// The order.
        pub id: OrderId,
        /// What it asks for.
        pub action: Action,
        /// The fencing number.
        pub fence: Term,
        /// When the receiver must have answered.
        pub deadline: Instant,
        /// Whether the order may have been written before.
        pub repeated: bool,
    }
}

/// Says why an order may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Denial {
    /// This process is not in charge, or is in charge under another term.
    #[display("the lease of the order's term is lost")]
    LeaseLost,
    /// The lease ends before the deadline of the order.
    #[display("the lease ends before the order's deadline")]
    LeaseShort,
    /// The deadline has passed.
    #[display("the order's deadline has passed")]
    Late,
}

impl Permit {
    /// Checks that the order may be written at this moment.
    pub fn check(&self, lease: Option<Lease>, now: Instant) -> Result<(), Denial> {
        let lease = lease.filter(|l| l.term == self.fence).ok_or(Denial::LeaseLost)?;
        if now >= self.deadline {
            return Err(Denial::Late);
        }
        if !lease.covers(now, self.deadline) {
            return Err(Denial::LeaseShort);
        }
        Ok(())
    }
}
