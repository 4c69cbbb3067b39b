//! HTTP/1.1 client and server for callers, targets and the platform.

mod answer;
mod body;
mod client;
mod server;

pub use self::{
    answer::{json, status, text},
    body::{Body, BodyError, collect, empty, full, streamed},
    client::{Client, Exchange, Failure},
    server::{Server, serve},
};
