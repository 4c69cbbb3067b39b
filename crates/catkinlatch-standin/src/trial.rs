//! The run behind `catkinlatch try`: one node, its stand-ins, and every kind of work once.

mod check;
mod run;

pub use self::{
    check::{Check, Checks},
    run::run,
};
