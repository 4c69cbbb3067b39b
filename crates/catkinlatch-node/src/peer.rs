//! Messages between nodes, and the sessions that carry them.

mod handler;
mod message;
mod peers;

pub use catkinlatch_runtime::CallError;

pub use self::{
    message::{Message, Reply},
    peers::Peers,
};

pub(crate) use self::handler::serve;
