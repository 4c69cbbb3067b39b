//! Infrastructure shared by the processes of all roles: clocks, settings, logging, metrics, HTTP,
//! sessions between processes, and the driver of the replicated state.

mod clock;
mod guide;
pub mod http;
pub mod journal;
pub mod message;
pub mod metric;
mod peers;
pub mod replica;
pub mod settings;

pub use self::{
    clock::Clock,
    guide::{Answer, Guide},
    message::{Message, Reply},
    peers::{CallError, Peers},
    replica::{ProposeError, Replica, Status},
    settings::Settings,
};
