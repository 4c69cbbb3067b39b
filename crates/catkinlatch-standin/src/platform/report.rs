//! The usage reports that the platform took.

use catkinlatch_base::Term;

pub use catkinlatch_fleet::usage::Report;

/// What the platform makes of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the first of its window.
    Taken,
    /// It is the same as the one that was taken.
    Repeated,
    /// It differs from the one that was taken.
    Conflict,
    /// Its sender's fencing number is old.
    OldFence,
}

/// The usage reports that the platform took.
///
/// ```
/// use catkinlatch_standin::platform::Reports;
///
/// assert!(Reports::new(true).taken().is_empty());
/// ```
#[derive(Debug)]
pub struct Reports {
    checks_fencing: bool,
    fence: Term,
    taken: Vec<Report>,
    conflicts: usize,
}

impl Reports {
    /// Creates the reports of a platform that refuses old fencing numbers, or ignores them.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, fence: Term::default(), taken: Vec::new(), conflicts: 0 }
    }

    /// Returns the reports that were taken, in order.
    pub fn taken(&self) -> &[Report] {
        &self.taken
    }

    /// Returns how many reports differed from one that was taken.
    pub fn conflicts(&self) -> usize {
        self.conflicts
    }

    /// Takes a report from a sender with this fencing number.
    pub fn take(&mut self, report: Report, fence: Term) -> Verdict {
        if self.checks_fencing && fence < self.fence {
            return Verdict::OldFence;
        }
        self.fence = self.fence.max(fence);
        match self.taken.iter().find(|earlier| earlier.window == report.window) {
            Some(earlier) if *earlier == report => Verdict::Repeated,
            Some(_) => {
                self.conflicts += 1;
                Verdict::Conflict
            }
            None => {
                self.taken.push(report);
                Verdict::Taken
            }
        }
    }
}
