//! What targets cost, and who used them.

mod money;
mod split;

pub use self::{
    money::Money,
    split::{Split, TeamSpend, split},
};
