//! The usage reports that the stand-in platform received.

use catkinlatch_base::Term;

pub use catkinlatch_fleet::usage::Report;

/// The platform's verdict on a usage report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The report is the first of its window and was accepted.
    Accepted,
    /// The report equals the accepted one of its window.
    Repeated,
    /// The report differs from the accepted one of its window.
    Conflict,
    /// The sender's fencing token is old.
    OldFence,
}

/// The usage reports that the platform accepted, one per window.
///
/// ```
/// use catkinlatch_standin::platform::Reports;
///
/// assert!(Reports::new(true).accepted().is_empty());
/// ```
#[derive(Debug)]
pub struct Reports {
    checks_fencing: bool,
    fence: Term,
    accepted: Vec<Report>,
    conflicts: usize,
}

impl Reports {
    /// Creates an empty list; `checks_fencing` is whether reports with an old fencing token are
    /// refused.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, fence: Term::default(), accepted: Vec::new(), conflicts: 0 }
    }

    /// Returns the reports that were accepted, in order.
    pub fn accepted(&self) -> &[Report] {
        &self.accepted
    }

    /// Returns the number of reports that differed from the accepted one of their window.
    pub fn conflicts(&self) -> usize {
        self.conflicts
    }

    /// Checks a report of a sender with this fencing token, and accepts it if it is the first of
    /// its window.
    pub fn submit(&mut self, report: Report, fence: Term) -> Verdict {
        if self.checks_fencing && fence < self.fence {
            return Verdict::OldFence;
        }
        self.fence = self.fence.max(fence);
        match self.accepted.iter().find(|earlier| earlier.window == report.window) {
            Some(earlier) if *earlier == report => Verdict::Repeated,
            Some(_) => {
                self.conflicts += 1;
                Verdict::Conflict
            }
            None => {
                self.accepted.push(report);
                Verdict::Accepted
            }
        }
    }
}
