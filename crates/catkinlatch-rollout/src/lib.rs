//! Decisions about rollouts: which samples run next, and which make up a batch.
//!
//! Nothing here has a clock, a socket or a thread: time and randomness are passed in.

pub mod evidence;
pub mod lengths;
pub mod pool;
pub mod share;
pub mod weights;

pub use self::{evidence::Evidence, lengths::Lengths, pool::Pool};
