//! The daemon: HTTP interfaces, sessions between processes, and the tasks that act on decisions.

mod clock;
pub mod control;
pub mod entry;
mod node;
mod operator;
pub mod order;
pub mod peer;
pub mod settings;
mod targets;
mod trainer;
mod upstream;
mod usage;

pub use self::{
    clock::Clock,
    control::Control,
    node::{Node, Server},
    operator::status,
    settings::Settings,
};
