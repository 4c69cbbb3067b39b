//! Decisions about targets and reports: usage windows, orders, placement and spend.
//!
//! Nothing here has a clock, a socket or a thread: time and randomness are passed in.

pub mod meter;

pub use self::meter::Meter;
