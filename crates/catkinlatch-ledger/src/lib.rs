//! The replicated state of the system, and the scheduling decisions that are derived from it.
//!
//! [`State`] is the state machine that the hosts with a disk replicate: the configuration, the
//! latest versions of models, batch jobs with their results, and usage windows. [`registry`]
//! tracks the targets that register themselves, [`schedule`] decides which item of which job runs
//! next and on which engine, [`balancer`] selects the target of a request, and [`observation`]
//! shares what senders learn of targets. Everything here is free of I/O: nothing has a clock, a
//! socket or a thread.

pub mod allowance;
pub mod balancer;
pub mod build;
mod command;
pub mod config;
pub mod job;
pub mod observation;
pub mod registry;
mod reply;
pub mod schedule;
mod state;
pub mod suspect;
mod usage;

pub use self::{
    allowance::Bounds,
    balancer::Balancer,
    command::Command,
    config::Configuration,
    job::{Item, Job, Outcome, Record},
    registry::{Registry, Target},
    reply::Reply,
    schedule::Schedule,
    state::State,
    usage::{Count, Tally, Window},
};
