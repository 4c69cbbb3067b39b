//! The replicated state machine of the control log.
//!
//! Each replica applies the same committed [`Command`]s in the same order and so reaches the same
//! [`State`].

pub mod batch;
pub mod claim;
mod command;
pub mod config;
pub mod evacuation;
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
