//! Decisions about live requests: which target serves them, and when they are refused.
//!
//! Nothing here has a clock, a socket or a thread: time and randomness are passed in.

pub mod admission;
pub mod retry;
pub mod target;

pub use self::{
    admission::Gate,
    retry::Budget,
    target::{Announcement, Key, Table},
};
