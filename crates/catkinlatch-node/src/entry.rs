//! The data path: requests of callers, from admission to the complete response.

mod address;
mod admission;
mod api;
mod attempt;
mod claim;
mod crash;
mod credential;
mod digest;
mod dispatch;
mod live;
mod refusal;
mod request;
mod retry;
mod sse;
mod stream;

pub use self::{
    refusal::{Code, Ran, Refusal},
    request::REQUEST_ID,
    stream::RESUMED,
};

pub(crate) use self::{
    admission::{Admission, maintain},
    api::register,
    credential::presented_key,
    dispatch::{Usage, engine_call, run_sample},
    request::{AuthorizedRequest, request_id},
};
