//! Orders to the platform and to targets: when one may be sent, and what follows.

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
