//! Decisions about targets and reports: usage windows, orders, placement and spend.
//!
//! Nothing here has a clock, a socket or a thread: time and randomness are passed in.

mod lease;
pub mod meter;
pub mod order;
pub mod placement;
pub mod spend;
pub mod usage;

pub use self::{lease::Lease, meter::Meter};
