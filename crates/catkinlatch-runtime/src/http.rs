//! HTTP/1.1 client and server for callers, targets and the platform.

mod answer;
mod body;
mod client;
pub mod dialer;
mod exchange;
pub mod inbound;
mod limits;
pub mod memory;
mod meter;
mod segments;
mod server;
mod validity;

pub use self::{
    answer::{closing, json, status, text},
    body::{Body, BodyError, collect, empty, full, receive, streamed},
    client::{Client, Failure, Repeatable, record_end},
    dialer::Dialer,
    exchange::Exchange,
    inbound::Inbound,
    limits::Limits,
    meter::{MAX_HEAD_BYTES, Meter, Metered},
    server::{Server, serve},
    validity::{Framing, is_event_stream, is_final},
};
