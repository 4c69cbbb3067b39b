//! The replicated state: what all nodes agree on, changed only by commands of the control log.

pub mod batch;
pub mod claim;
mod command;
pub mod config;
pub mod order;
pub mod sheet;
mod state;
pub mod suspect;
pub mod window;

pub use self::{
    command::{Command, Reply},
    config::Config,
    state::State,
};
