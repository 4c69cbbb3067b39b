//! Decisions about rollouts: which samples run next, and which make up a batch.
//!
//! Nothing here has a clock, a socket or a thread: time and randomness are passed in.

pub mod pool;

pub use self::pool::Pool;
