//! Admission control: team limits, weighted fair queueing and early refusal.

mod ask;
mod bucket;
mod denial;
mod flow;
mod gate;
mod limit;
mod pool;
mod queue;
mod throughput;

pub use self::{
    ask::{Ask, Class},
    bucket::Bucket,
    denial::Denial,
    gate::{Decision, Gate, Outcome, Permit, Waiter},
    limit::{Limit, Rates},
    throughput::Throughput,
};
