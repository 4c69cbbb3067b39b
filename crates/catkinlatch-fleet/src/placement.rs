//! Decides which targets to start and stop, by zone and price class.

mod allot;
mod backoff;
mod demand;
mod planner;
mod pool;
mod reconcile;
mod target;
mod timing;

pub use self::{
    demand::Demand,
    planner::{Planner, Step},
    pool::{Offer, Pool},
    reconcile::{Listed, Mismatch, reconcile},
    target::{Phase, Target},
    timing::Timing,
};
