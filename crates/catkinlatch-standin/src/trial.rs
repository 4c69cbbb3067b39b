//! The trial behind `catkinlatch try`: one node with stand-ins, and one request of each kind.

mod check;
mod run;

pub use self::{
    check::{Check, Checks},
    run::run,
};
