//! Retries: a budget, jittered back-off, and the rule of what may be tried again.

mod backoff;
mod budget;
mod plan;

pub use self::{
    backoff::Backoff,
    budget::Budget,
    plan::{Effect, Plan, Step},
};
