//! What senders observe of targets, and how they share it.
//!
//! Each sender keeps a [`Guide`] with a [`Table`] of estimates. Senders report what they observed to
//! the leader's [`Hub`], which sends a digest back, decides for which services the part is on, and puts failing
//! targets in cooldown. [`select`] chooses the target that is expected to finish a request first.

mod cooldown;
mod decay;
mod duration;
mod estimate;
mod guide;
mod hub;
mod message;
mod select;
mod table;

pub use self::{
    cooldown::Change,
    estimate::{Estimate, Load},
    guide::{Guide, News},
    hub::{Digest, Hub},
    message::{Cooldown, Durations, Observation, Scope},
    select::{Selection, free_share, select},
    table::{Event, Table},
};

/// The most targets in a report or a digest.
pub const MAX_OBSERVATIONS: usize = 64;
