//! Runs the real program as several processes on loopback, and makes them fail.

mod hosts;
mod link;
pub(crate) mod ports;
mod process;
pub mod soak;
mod work;

pub use self::{
    hosts::{Cluster, Layout},
    link::Link,
    process::Process,
    soak::Soak,
    work::{Tally, Work},
};
