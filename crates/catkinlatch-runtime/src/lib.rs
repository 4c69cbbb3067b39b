//! Infrastructure shared by the processes of all roles: clocks, settings, logging, metrics, HTTP,
//! sessions between processes, and the driver of the replicated state.

mod clock;
pub mod file;
pub mod http;
mod leader_client;
pub mod logger;
pub mod message;
pub mod metric;
mod peers;
pub mod relay;
pub mod replica;
pub mod settings;

pub use self::{
    clock::Clock,
    leader_client::{Answer, LeaderClient},
    message::{Message, Reply},
    peers::{CallError, Peers},
    replica::{ProposeError, Replica, Status},
    settings::Settings,
};
