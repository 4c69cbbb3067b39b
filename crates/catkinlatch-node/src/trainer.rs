//! HTTP interface for trainers, and the tasks that run their samples on engines.

mod api;
mod assignment;
mod batch;
mod coordinator;
mod group;
mod penalty;
mod remote;
mod replica;
mod runner;
mod sample;

pub use self::remote::{Message, Reply};

pub(crate) use self::{
    api::register, coordinator::Coordinators, remote::receive, runner::run_samples,
};

use self::coordinator::{Batch, Coordinator};
