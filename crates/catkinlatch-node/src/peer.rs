//! Messages between the nodes, and the sessions that carry them.

mod handler;
mod message;
mod peers;

pub use self::{
    message::{Message, Reply},
    peers::{CallError, Peers},
};

pub(crate) use self::handler::serve;
