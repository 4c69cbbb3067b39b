//! Usage of teams: closing windows, reporting them, and budgets.

mod book;
mod budget;
mod closer;
mod report;

pub use self::{
    book::Book,
    budget::{Budget, Verdict},
    closer::{Answer, Closer, Step},
    report::Report,
};
