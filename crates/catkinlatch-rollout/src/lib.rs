//! Scheduling of rollouts: the order in which samples run, the assembly of batches, and the
//! distribution of weights to engines.
//!
//! This crate performs no I/O and starts no threads: callers pass in the time.

pub mod copies;
pub mod evidence;
pub mod lengths;
pub mod pool;
pub mod share;
pub mod weights;

pub use self::{evidence::Evidence, lengths::Lengths, pool::Pool};
