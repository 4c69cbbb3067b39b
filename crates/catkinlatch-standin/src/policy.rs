//! Measures the policy under load and faults: the decision code on simulated time.

pub mod clock;
pub mod entry;
pub mod fleet;
pub mod rollout;
