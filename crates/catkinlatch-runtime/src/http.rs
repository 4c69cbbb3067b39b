//! HTTP/1.1 client and server for callers, targets and the platform.

mod answer;
mod body;
mod client;
pub mod dialer;
mod exchange;
mod limits;
pub mod memory;
mod meter;
mod segments;
mod server;

pub use self::{
    answer::{json, status, text},
    body::{Body, BodyError, collect, empty, full, streamed},
    client::{Client, Failure, Repeatable, record_end},
    dialer::Dialer,
    exchange::Exchange,
    limits::Limits,
    meter::{MAX_HEAD_BYTES, Meter, Metered},
    server::{Server, serve},
};
