//! Waits on the way of a change from its commit to the hosts that must obey it.

use super::Times;
use std::time::Duration;

/// Waits on the way of a change from its commit to the hosts that must obey it, derived from the
/// times of the deployment.
///
/// A host in touch holds a change at the latest `poll + renewal` after its last poll, or after the
/// next leader is elected. The leader counts a host as in touch for `contact`, which is longer, so
/// it acknowledges a change when all hosts in touch hold it. What is left of `apply_ms` covers
/// processes that are delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// How long the leader may delay its answer to a poll while nothing has changed.
    pub poll: Duration,
    /// Time beyond `poll` after which a host without an answer asks other hosts who leads.
    pub silence: Duration,
    /// Time beyond `poll` after which a host without an answer opens a new connection to the same
    /// leader, since a connection can fall silent without a reset.
    pub renewal: Duration,
    /// Time after its last poll for which a host counts as in touch.
    pub contact: Duration,
    /// The longest time for which the acknowledgement of a change waits for hosts in touch.
    pub propagation: Duration,
    /// Timeout of a call of an operator at the host that received it.
    pub call: Duration,
}

/// The longest waits, which apply from `apply_ms` = 2,000 on: a longer one is of no use to anyone.
const LONGEST: Waits = Waits {
    poll: Duration::from_millis(500),
    silence: Duration::from_millis(250),
    renewal: Duration::from_millis(600),
    contact: Duration::from_millis(1_400),
    propagation: Duration::from_millis(2_100),
    call: Duration::from_millis(3_000),
};

/// The `apply_ms` for which [`LONGEST`] is designed.
const DESIGN_APPLY_MS: u64 = 2_000;

/// The least `apply_ms` whose waits still exceed the delays of a busy machine.
const MIN_APPLY_MS: u64 = 400;

/// Share of `ack_ms` after which the host that received a call answers it.
const CALL_SHARE: f64 = 0.75;

impl Waits {
    /// Derives the waits from the times of a deployment.
    pub fn new(times: &Times) -> Self {
        let share = (times.apply_ms as f64 / DESIGN_APPLY_MS as f64).min(1.0);
        let call = times.ack_ms.map_or(LONGEST.call, |ack_ms| {
            LONGEST.call.min(Duration::from_millis(ack_ms).mul_f64(CALL_SHARE))
        });
        Self {
            poll: LONGEST.poll.mul_f64(share),
            silence: LONGEST.silence.mul_f64(share),
            renewal: LONGEST.renewal.mul_f64(share),
            contact: LONGEST.contact.mul_f64(share),
            propagation: LONGEST.propagation.mul_f64(share),
            call,
        }
    }

    /// Returns why the waits cannot keep the times of a deployment, one text for each reason.
    pub fn contradictions(&self, times: &Times) -> Vec<String> {
        let apply = Duration::from_millis(times.apply_ms);
        let evacuate = times.evacuate_ms.map(Duration::from_millis);
        let checks = [
            (
                times.apply_ms >= MIN_APPLY_MS,
                format!("apply_ms must be at least {MIN_APPLY_MS}; hosts can't learn sooner"),
            ),
            (
                self.poll + self.renewal < self.contact && self.contact < apply,
                "apply_ms is too short for polls of hosts in touch".to_owned(),
            ),
            (
                self.propagation < self.call,
                format!(
                    "ack_ms must be more than {}; hosts in touch can take as long",
                    self.propagation.div_f64(CALL_SHARE).as_millis()
                ),
            ),
            (
                evacuate.is_none_or(|evacuate| self.contact < evacuate),
                format!("evacuate_ms must be more than {}", self.contact.as_millis()),
            ),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, finding)| finding).collect()
    }
}
