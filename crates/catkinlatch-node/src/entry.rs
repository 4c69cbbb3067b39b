//! The data path: callers' requests, from admission to the whole answer.

mod api;
mod credential;
mod dispatch;
mod refusal;
mod request;
mod stream;

pub use self::{
    refusal::{Code, Ran, Refusal},
    request::REQUEST_ID,
};

pub(crate) use self::{
    api::register,
    credential::presented_key,
    dispatch::{Usage, engine_call, run_whole},
    request::Ticket,
};
