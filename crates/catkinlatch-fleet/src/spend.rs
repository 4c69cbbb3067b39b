//! The cost of targets, divided among the teams that used them.

mod money;
mod split;

pub use self::{
    money::Money,
    split::{Split, TeamSpend, split},
};
