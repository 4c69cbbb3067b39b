//! The interface for trainers, and the tasks that run their samples.

mod api;
mod coordinator;
mod runner;

pub(crate) use self::{api::register, coordinator::Coordinators, runner::run_samples};
