//! The right to write one order to its receiver.

use crate::Lease;
use catkinlatch_base::{Instant, OrderId, Term, derive_value};
use catkinlatch_state::order::Action;
use derive_more::{Display, Error};

derive_value! {
    /// The right to write one order; it must be checked again right before the write.
    pub struct Permit {
        /// The id of the order.
        pub id: OrderId,
        /// The action to carry out.
        pub action: Action,
        /// The fencing token: the term of the leader that sends the order.
        pub fence: Term,
        /// The deadline for the receiver's answer.
        pub deadline: Instant,
        /// Whether an earlier attempt may have written the order.
        pub repeated: bool,
    }
}

/// The reason why an order must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Denial {
    /// This process holds no lease, or one of another term.
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
    /// Checks that the order may be written now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the lease is lost or too short, or if the deadline has passed.
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
