//! Orders to the platform and to targets, from intent to settlement.

mod dispatcher;
mod job;
mod outcome;
mod permit;
mod step;
mod timing;

pub use self::{
    dispatcher::Dispatcher,
    outcome::{InquiryOutcome, Outcome},
    permit::{Denial, Permit},
    step::Step,
    timing::Timing,
};
