//! What the hosts with a disk agree on, and the decisions that follow from it.
//!
//! [`State`] is the replicated state: configuration, named versions, batch jobs with their
//! results, and usage windows. [`registry`] keeps what targets say of themselves, and
//! [`schedule`] decides which item of which job runs next and where. Nothing here has a clock, a
//! socket or a thread.

pub mod choice;
mod command;
pub mod config;
pub mod job;
pub mod registry;
mod reply;
pub mod schedule;
mod state;
mod usage;

pub use self::{
    choice::Choice,
    command::Command,
    config::Configuration,
    job::{Item, Job, Outcome, Record},
    registry::{Registry, Target},
    reply::Reply,
    schedule::Schedule,
    state::State,
    usage::{Count, Counted, Window},
};
