//! Failures that the control log is meant for, over cores without I/O.
#![allow(clippy::unwrap_used)]

mod formation;
mod net;
