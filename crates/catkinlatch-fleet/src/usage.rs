//! Usage of teams: closing windows, reporting them, and budgets.

mod budget;
mod closer;
mod replicas;
mod report;

pub use self::{
    budget::{Budget, Verdict},
    closer::{Answer, Closer, Step},
    replicas::Replicas,
    report::Report,
};
