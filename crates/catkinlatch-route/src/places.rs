//! Division of a service's places among entry hosts and the leader's own calls.
//!
//! Places are the slots of the service's ready targets. They are divided where there are fewer of
//! them than entry hosts, so that a host cannot know by itself whether one is free.

mod division;
mod share;

pub use self::{
    division::{Division, Holder, Need},
    share::Share,
};
