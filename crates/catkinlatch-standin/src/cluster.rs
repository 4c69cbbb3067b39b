//! Runs the real program as a cluster of processes on loopback, and injects faults.

mod hosts;
mod link;
pub mod ports;
mod process;
pub mod soak;
mod work;

pub use self::{
    hosts::{Cluster, Layout},
    link::Link,
    process::Process,
    soak::Soak,
    work::{Caller, Outcomes},
};
