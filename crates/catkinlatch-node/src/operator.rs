//! HTTP interface for operators.

mod api;
pub mod status;

pub(crate) use self::api::register;
