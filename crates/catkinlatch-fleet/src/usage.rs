//! Usage of teams: windows, their reports and their budgets.

mod report;

pub use self::report::Report;
