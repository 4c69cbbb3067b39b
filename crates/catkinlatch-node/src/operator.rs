//! HTTP interface for operators.

pub(crate) mod access;
mod api;
pub mod cluster;
pub mod health;
pub mod status;

pub(crate) use self::api::register;
