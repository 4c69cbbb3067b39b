//! The data path: callers' requests, from admission to the whole answer.

mod accused;
mod address;
mod admission;
mod api;
mod claim;
mod credential;
mod digest;
mod dispatch;
mod live;
mod refusal;
mod request;
mod running;
mod sse;
mod stream;
mod tries;

pub use self::{
    refusal::{Code, Ran, Refusal},
    request::REQUEST_ID,
    stream::RESUMED,
};

pub(crate) use self::{
    admission::{Admission, maintain},
    api::register,
    credential::presented_key,
    dispatch::{Usage, engine_call, run_whole},
    request::Ticket,
};
