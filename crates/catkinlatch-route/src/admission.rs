//! Admission control: team limits, weighted fair queueing and early refusal.

mod bucket;
mod denial;
mod flow;
mod gate;
mod limit;
mod pool;
mod queue;
pub mod rank;
mod request;
mod throughput;

pub use self::{
    bucket::Bucket,
    denial::Denial,
    gate::{Decision, Gate, Outcome, Permit, Waiter},
    limit::{Limit, Rates},
    request::{Class, Request},
    throughput::Throughput,
};
