//! What a leader has under way for one open order.

use super::{Finding, Outcome, Timing};
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_state::order::{Change, Stage};

/// Where the leader's work for one open order stands.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The order may be written from this moment on.
    Ready {
        /// The earliest moment of the write.
        from: Instant,
    },
    /// A change is being committed.
    Committing,
    /// The order is being sent, or the receiver is being asked.
    Calling,
    /// The receiver is to be asked from this moment on.
    Ask {
        /// The earliest moment of the question.
        from: Instant,
    },
    /// The order is to be put under this leader's term before it is sent again.
    Adopt,
    /// The outcome is to be recorded.
    Settle {
        /// What became of the order.
        stage: Stage,
        /// The target that the platform named.
        target: Option<TargetId>,
    },
    /// Nothing is left to do.
    Over,
}

/// What a leader has under way for one open order.
#[derive(Clone, Debug)]
pub struct Job {
    /// Where the work stands.
    pub phase: Phase,
    /// Whether the order may have been written, by this leader or an earlier one.
    written: bool,
    tries: u32,
}

impl Job {
    /// Creates the job of an order whose intent is being committed.
    pub fn new() -> Self {
        Self { phase: Phase::Committing, written: false, tries: 0 }
    }

    /// Creates the job of an open order that may have been written before.
    pub fn inherited(now: Instant) -> Self {
        Self { phase: Phase::Ask { from: now }, written: true, tries: 0 }
    }

    /// Marks the order as being written.
    pub fn write(&mut self) {
        self.written = true;
        self.phase = Phase::Calling;
    }

    /// Goes on after a change was applied, or was not.
    pub fn committed(&mut self, change: &Change, applied: bool, now: Instant) {
        self.phase = match (change, applied) {
            (Change::Intend { .. } | Change::Adopt { .. }, true) => Phase::Ready { from: now },
            (Change::Adopt { .. }, false) => Phase::Adopt,
            (Change::Settle { stage, target, .. }, false) => {
                Phase::Settle { stage: *stage, target: target.clone() }
            }
            (Change::Settle { .. }, true)
            | (Change::Intend { .. }, false)
            | (Change::Drain { .. } | Change::End { .. }, _) => Phase::Over,
        };
    }

    /// Goes on after the order was sent, or was not.
    pub fn sent(&mut self, outcome: Outcome, written_before: bool, timing: &Timing, now: Instant) {
        let from = now + timing.retry;
        self.phase = match outcome {
            Outcome::Done { target } => Phase::Settle { stage: Stage::Done, target },
            Outcome::Refused => Phase::Settle { stage: Stage::Failed, target: None },
            Outcome::Unavailable => Phase::Settle { stage: Stage::Unavailable, target: None },
            Outcome::NotSent if !written_before => {
                self.written = false;
                self.try_again(Phase::Ready { from }, timing)
            }
            Outcome::NotSent | Outcome::NoAnswer => Phase::Ask { from },
        };
    }

    /// Goes on after the receiver was asked.
    pub fn inquired(&mut self, finding: Finding, timing: &Timing, now: Instant) {
        let from = now + timing.retry;
        self.phase = match finding {
            Finding::Taken { target } => Phase::Settle { stage: Stage::Done, target },
            Finding::Refused => Phase::Settle { stage: Stage::Failed, target: None },
            Finding::Unavailable => Phase::Settle { stage: Stage::Unavailable, target: None },
            Finding::Absent | Finding::Idempotent => self.try_again(Phase::Adopt, timing),
            Finding::NoAnswer => self.try_again(Phase::Ask { from }, timing),
        };
    }

    /// Returns whether the order may have been written.
    pub fn is_written(&self) -> bool {
        self.written
    }

    /// Returns `phase`, or the settlement of an order that was tried often enough.
    ///
    /// What may have been written is never called failed: it may yet be taken.
    fn try_again(&mut self, phase: Phase, timing: &Timing) -> Phase {
        self.tries += 1;
        if self.tries < timing.tries {
            return phase;
        }
        let stage = if self.written { Stage::Unknown } else { Stage::Failed };
        Phase::Settle { stage, target: None }
    }
}
