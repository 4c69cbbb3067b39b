//! Slopes measured on this machine, and what they come to at the size of the aim.

mod memory;
mod size;
mod slope;
mod table;

pub use self::{size::Size, slope::Slopes, table::Table};
