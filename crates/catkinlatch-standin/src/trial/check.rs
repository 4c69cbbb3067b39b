//! What a trial checked.

use std::fmt;

/// One thing that a trial checked.
#[derive(Clone, Debug)]
pub struct Check {
    /// What was checked.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub seen: String,
}

/// All that a trial checked, in order.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    list: Vec<Check>,
}

impl Checks {
    /// Records a check.
    pub fn add(&mut self, name: &'static str, held: bool, seen: impl Into<String>) {
        self.list.push(Check { name, held, seen: seen.into() });
    }

    /// Returns whether there were checks and all of them held.
    pub fn all_held(&self) -> bool {
        !self.list.is_empty() && self.list.iter().all(|check| check.held)
    }

    /// Returns the checks.
    pub fn list(&self) -> &[Check] {
        &self.list
    }
}

impl fmt::Display for Checks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for check in &self.list {
            let verdict = if check.held { "held" } else { "FAILED" };
            writeln!(f, "{verdict:<7} {:<46} {}", check.name, check.seen)?;
        }
        Ok(())
    }
}
