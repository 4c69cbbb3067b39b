//! Frames and authenticated sessions between the processes of the system.
//!
//! A session is an HTTP/2 connection. A call is a stream with one frame in each direction; a
//! lane is a one-way stream of frames that the receiver handles in order; a tunnel carries bytes in
//! both directions.

pub mod codec;
mod error;
mod frame;
mod hello;
mod lane;
mod link;
mod listener;
mod secret;
mod server;
mod session;
mod stream;
mod tunnel;

pub use self::{
    error::Error,
    frame::{Frame, FrameError, HEADER_BYTES},
    hello::{Hello, PROTOCOL},
    lane::Lane,
    link::{Destination, Link, link},
    listener::Listener,
    secret::Secret,
    server::{serve, serve_with_tunnels},
    session::{Session, connect, connect_for_tunnels},
    tunnel::{Offer, Tunnel, WINDOW_BYTES},
};
