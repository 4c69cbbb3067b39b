//! The interface for trainers, and the tasks that run their samples.

mod api;
mod batch;
mod coordinator;
mod doubt;
mod group;
mod runner;
mod sample;
mod seat;

pub(crate) use self::{api::register, coordinator::Coordinators, runner::run_samples};

use self::coordinator::{Batch, Coordinator};
