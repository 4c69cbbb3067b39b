//! Capacity planning: unit costs measured on this machine, and the load that they predict for each
//! role of a node today and at the planned size.

mod memory;
mod size;
mod table;
mod unit_costs;

pub use self::{size::Size, table::Table, unit_costs::UnitCosts};
