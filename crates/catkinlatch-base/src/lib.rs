//! Ids, units, instants, input findings, invariants and timeline events shared by all crates.

mod derive;
pub mod event;
pub mod finding;
pub mod id;
mod instant;
pub mod invariant;
mod nearest;
pub mod random;
pub mod timeline;
pub mod trailing;
pub mod unit;

pub use self::{
    finding::{Finding, Findings, Place},
    id::*,
    instant::Instant,
    nearest::nearest,
    timeline::Timeline,
    unit::*,
};

#[doc(hidden)]
pub use {schemars, serde};
