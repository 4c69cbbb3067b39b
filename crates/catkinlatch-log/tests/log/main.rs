//! Failures that the control log is meant for, over cores without I/O.
#![allow(clippy::unwrap_used)]

mod disk;
mod formation;
mod net;
