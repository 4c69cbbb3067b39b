//! Routing of requests: admission, target selection and retries.
//!
//! This crate performs no I/O and starts no threads: callers pass in the time and the random number
//! generator.

pub mod admission;
pub mod allowance;
pub mod drain;
pub mod places;
pub mod ramp;
pub mod reach;
pub mod retry;
pub mod target;

pub use self::{
    admission::Gate,
    ramp::Ramp,
    reach::Reach,
    retry::Budget,
    target::{Announcement, Key, Table},
};
