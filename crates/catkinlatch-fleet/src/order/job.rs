//! The leader's progress on one open order.

use super::{InquiryOutcome, Outcome, Timing};
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_state::order::{Change, Stage};

/// The phase of the leader's work on an open order.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The order may be sent from this time on.
    Ready {
        /// The earliest time to send the order.
        from: Instant,
    },
    /// A change is being committed.
    Committing,
    /// The order is being sent, or an inquiry is in flight.
    Calling,
    /// The receiver may be asked about the order from this time on.
    Ask {
        /// The earliest time of the inquiry.
        from: Instant,
    },
    /// The order must be moved to this leader's term before it is sent again.
    Adopt,
    /// The outcome must be committed.
    Settle {
        /// The final stage of the order.
        stage: Stage,
        /// The target that the platform named, if any.
        target: Option<TargetId>,
    },
    /// No work is left.
    Finished,
}

/// The leader's progress on one open order.
#[derive(Clone, Debug)]
pub struct Job {
    /// The current phase.
    pub phase: Phase,
    /// Whether this leader or an earlier one may have written the order to its receiver.
    written: bool,
    tries: u32,
}

impl Job {
    /// Creates the job for an order whose intent is being committed.
    pub fn new() -> Self {
        Self { phase: Phase::Committing, written: false, tries: 0 }
    }

    /// Creates the job for an open order that an earlier leader may have written.
    pub fn inherited(now: Instant) -> Self {
        Self { phase: Phase::Ask { from: now }, written: true, tries: 0 }
    }

    /// Marks the order as being written.
    pub fn mark_written(&mut self) {
        self.written = true;
        self.phase = Phase::Calling;
    }

    /// Advances the job after a change was applied or failed.
    pub fn committed(&mut self, change: &Change, applied: bool, now: Instant) {
        self.phase = match (change, applied) {
            (Change::Intend { .. } | Change::Adopt { .. }, true) => Phase::Ready { from: now },
            (Change::Adopt { .. }, false) => Phase::Adopt,
            (Change::Settle { stage, target, .. }, false) => {
                Phase::Settle { stage: *stage, target: target.clone() }
            }
            (Change::Settle { .. }, true)
            | (Change::Intend { .. }, false)
            | (Change::Drain { .. } | Change::End { .. }, _) => Phase::Finished,
        };
    }

    /// Advances the job after an attempt to send the order.
    ///
    /// `written_before` states whether an earlier attempt may have written it.
    pub fn sent(&mut self, outcome: Outcome, written_before: bool, timing: &Timing, now: Instant) {
        let from = now + timing.retry;
        self.phase = match outcome {
            Outcome::Done { target } => Phase::Settle { stage: Stage::Done, target },
            Outcome::Refused => Phase::Settle { stage: Stage::Failed, target: None },
            Outcome::Unavailable => Phase::Settle { stage: Stage::Unavailable, target: None },
            Outcome::NotSent if !written_before => {
                self.written = false;
                self.retry_or_settle(Phase::Ready { from }, timing)
            }
            Outcome::NotSent | Outcome::NoAnswer => Phase::Ask { from },
        };
    }

    /// Advances the job after an inquiry.
    pub fn inquired(&mut self, outcome: InquiryOutcome, timing: &Timing, now: Instant) {
        let from = now + timing.retry;
        self.phase = match outcome {
            InquiryOutcome::Taken { target } => Phase::Settle { stage: Stage::Done, target },
            InquiryOutcome::Refused => Phase::Settle { stage: Stage::Failed, target: None },
            InquiryOutcome::Unavailable => {
                Phase::Settle { stage: Stage::Unavailable, target: None }
            }
            InquiryOutcome::Absent | InquiryOutcome::Idempotent => {
                self.retry_or_settle(Phase::Adopt, timing)
            }
            InquiryOutcome::NoAnswer => self.retry_or_settle(Phase::Ask { from }, timing),
        };
    }

    /// Returns whether the order may have been written.
    pub fn may_be_written(&self) -> bool {
        self.written
    }

    /// Returns `phase`, or settles the order if its tries are used up.
    ///
    /// An order that may have been written is settled as unknown rather than failed, since the
    /// receiver may still accept it.
    fn retry_or_settle(&mut self, phase: Phase, timing: &Timing) -> Phase {
        self.tries += 1;
        if self.tries < timing.tries {
            return phase;
        }
        let stage = if self.written { Stage::Unknown } else { Stage::Failed };
        Phase::Settle { stage, target: None }
    }
}
