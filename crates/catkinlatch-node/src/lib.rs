//! The daemon of a host: its HTTP interfaces, its sessions with other nodes, and its background
//! tasks.

pub mod control;
mod drain;
pub mod entry;
pub mod evacuation;
mod guard;
mod http_log;
mod metric;
mod node;
pub mod openapi;
mod operator;
pub mod order;
pub mod peer;
pub mod placement;
mod relay;
pub mod settings;
mod targets;
mod trainer;
mod upstream;
mod usage;

pub use catkinlatch_runtime::Clock;

pub use self::{
    control::Control,
    drain::Drain,
    node::{Node, Server},
    operator::{cluster, health, status},
    settings::Settings,
    targets::LEAVING,
};
