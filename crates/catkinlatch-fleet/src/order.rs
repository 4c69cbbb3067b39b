//! Orders to the platform and to targets, from intent to settlement.

mod desk;
mod job;
mod outcome;
mod permit;
mod step;
mod timing;

pub use self::{
    desk::Desk,
    outcome::{Finding, Outcome},
    permit::{Denial, Permit},
    step::Step,
    timing::Timing,
};
