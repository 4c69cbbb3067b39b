//! The data path: callers' requests, from admission to the whole answer.

mod admission;
mod api;
mod credential;
mod dispatch;
mod refusal;
mod request;
mod stream;
mod tries;

pub use self::{
    refusal::{Code, Ran, Refusal},
    request::REQUEST_ID,
};

pub(crate) use self::{
    admission::{Admission, maintain},
    api::register,
    credential::presented_key,
    dispatch::{Usage, engine_call, run_whole},
    request::Ticket,
};
