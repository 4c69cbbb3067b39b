//! Checks of a trial and their results.

use std::fmt;

/// The result of one check.
#[derive(Clone, Debug)]
pub struct Check {
    /// Statement that was checked.
    pub name: &'static str,
    /// Whether the check passed.
    pub passed: bool,
    /// Observed values, for the reader of the report.
    pub observed: String,
}

/// The results of all checks, in the order of the trial.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    list: Vec<Check>,
}

impl Checks {
    /// Appends the result of a check.
    pub fn add(&mut self, name: &'static str, passed: bool, observed: impl Into<String>) {
        self.list.push(Check { name, passed, observed: observed.into() });
    }

    /// Returns whether there is at least one check and all checks passed.
    pub fn all_passed(&self) -> bool {
        !self.list.is_empty() && self.list.iter().all(|check| check.passed)
    }

    /// Returns the results in the order of the trial.
    pub fn list(&self) -> &[Check] {
        &self.list
    }
}

impl fmt::Display for Checks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for check in &self.list {
            let verdict = if check.passed { "held" } else { "FAILED" };
            writeln!(f, "{verdict:<7} {:<46} {}", check.name, check.observed)?;
        }
        Ok(())
    }
}
