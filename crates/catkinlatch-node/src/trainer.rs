//! The interface for trainers, and the tasks that run their samples.

mod api;
mod batch;
mod coordinator;
mod doubt;
mod group;
mod kept;
mod remote;
mod runner;
mod sample;
mod seat;

pub use self::remote::{Message, Reply};

pub(crate) use self::{
    api::register, coordinator::Coordinators, remote::receive, runner::run_samples,
};

use self::coordinator::{Batch, Coordinator};
