//! Admission: team limits, a weighted fair queue and early refusal.

mod ask;
mod bucket;
mod denial;
mod fair;
mod gate;
mod lane;
mod limit;
mod pool;
mod speed;

pub use self::{
    ask::{Ask, Class},
    bucket::Bucket,
    denial::Denial,
    gate::{Decision, Gate, Outcome, Permit, Waiter},
    limit::{Limit, Rates},
    speed::Speed,
};
