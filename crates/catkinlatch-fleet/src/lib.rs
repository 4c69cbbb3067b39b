//! Decision logic for usage windows, orders, placement and spend.
//!
//! This crate has no clocks, sockets or threads; the caller passes in time and randomness.

mod lease;
pub mod meter;
pub mod order;
pub mod placement;
pub mod spend;
pub mod usage;

pub use self::{lease::Lease, meter::Meter};
