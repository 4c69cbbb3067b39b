//! Measures how the costs of the control log scale. Run with `cargo run --release --example
//! slopes`.
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
