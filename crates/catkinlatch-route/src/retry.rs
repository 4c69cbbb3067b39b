//! Retries: budget, jittered backoff, and the rule for which failures are retried.

mod backoff;
mod budget;
mod plan;

pub use self::{
    backoff::Backoff,
    budget::Budget,
    plan::{Effect, Plan, Step},
};
