//! Measures how the control log's costs grow: `cargo run --release --example slopes`.
#![allow(clippy::print_stdout)]

mod bytes;
mod commits;
mod failover;
mod net;
mod restart;

fn main() {
    commits::run();
    bytes::run();
    failover::run();
    restart::run();
}
