//! Simulations that run the real decision code on simulated time, under load and faults.

pub mod clock;
pub mod entry;
pub mod fleet;
pub mod rollout;
