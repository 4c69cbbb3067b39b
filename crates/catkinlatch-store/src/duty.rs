//! Decides when a host may act as the holder of the duties: report usage and order loads.
//!
//! Only the leader acts, and the log has one leader at a time. What remains are calls: one that an
//! earlier holder began may still be under way, and two holders must not alternate.

use catkinlatch_base::{Instant, Term};
use std::time::Duration;

/// Added to each wait, for clocks that run at slightly different rates.
pub const MARGIN: Duration = Duration::from_millis(300);

/// The last time a host acted as the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The term in which the host acted; `None` if an earlier process may have acted.
    pub term: Option<Term>,
    /// When its last call began or, if it has ended, when it ended.
    pub at: Instant,
}

/// What the deployment asks of holders.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Time within which two hosts must not alternate as the holder.
    pub lease: Duration,
    /// Whether the receivers of calls refuse those with an old fencing token.
    pub checks_fences: bool,
    /// How long a call may be under way; it is reset after that.
    pub call_timeout: Duration,
}

impl Rule {
    /// Returns from when a host may act that leads `term` since `elected_at`.
    ///
    /// A host that acted in another term waits for the lease, since another host may have acted in
    /// between. Where old fencing tokens are not refused, a new leader also waits until the calls of
    /// its predecessor, which began before its election, have ended.
    pub fn may_act_at(&self, last: Option<Turn>, term: Term, elected_at: Instant) -> Instant {
        let own = match last {
            Some(turn) if turn.term != Some(term) => turn.at + self.lease + MARGIN,
            Some(_) | None => Instant::ZERO,
        };
        let has_acted_now = last.is_some_and(|turn| turn.term == Some(term));
        let predecessor = if self.checks_fences || has_acted_now {
            Instant::ZERO
        } else {
            elected_at + self.call_timeout + MARGIN
        };
        own.max(predecessor)
    }
}
