//! Frames and authenticated sessions between the processes of the system.
//!
//! A session is one HTTP/2 connection. Calls are streams with one frame each way; a lane is a
//! stream of frames one way, handled in order.

pub mod codec;
mod error;
mod frame;
mod hello;
mod lane;
mod link;
mod secret;
mod server;
mod session;
mod stream;

pub use self::{
    error::Error,
    frame::{Frame, FrameError, HEADER_BYTES},
    hello::{Hello, PROTOCOL},
    lane::Lane,
    link::{Destination, Link, link},
    secret::Secret,
    server::serve,
    session::{Session, connect},
};
