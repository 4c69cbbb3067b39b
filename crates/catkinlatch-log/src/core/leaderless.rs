//! Reports why a node has no leader.

use super::{Core, State};
use crate::{Action, Machine, Report, action::Leaderless};
use catkinlatch_base::{HostId, Incarnation, Instant};
use std::{collections::BTreeMap, time::Duration};

/// Interval between two reports, in election timeouts.
const REPORT_ELECTION_TIMEOUTS: u32 = 4;

/// What a node has observed since it had a leader.
#[derive(Clone, Debug)]
pub struct Observation {
    since: Instant,
    report_at: Instant,
    /// The last answer of each voter to a request for its vote.
    votes: BTreeMap<Incarnation, bool>,
}

impl Observation {
    /// Starts an observation.
    fn new(now: Instant, interval: Duration) -> Self {
        Self { since: now, report_at: now + interval, votes: BTreeMap::new() }
    }
}

impl<M: Machine> Core<M> {
    /// Records whether a voter grants its vote.
    pub(super) fn observe_vote(&mut self, voter: Incarnation, granted: bool) {
        if let Some(observation) = &mut self.leaderless {
            observation.votes.insert(voter, granted);
        }
    }

    /// Reports at intervals while there is no leader.
    pub(super) fn tick_leaderless(&mut self, now: Instant) {
        if self.leader.is_some() || matches!(self.state, State::Failed) {
            self.leaderless = None;
            return;
        }
        let interval = self.settings.election_timeout * REPORT_ELECTION_TIMEOUTS;
        let observation = self.leaderless.get_or_insert_with(|| Observation::new(now, interval));
        if now < observation.report_at {
            return;
        }
        observation.report_at = now + interval;
        let votes = std::mem::take(&mut observation.votes);
        let age = now - observation.since;
        let with_answer = |answer: Option<bool>| -> Vec<HostId> {
            let voters = self.other_voters().into_iter();
            let matching = voters.filter(|voter| votes.get(&voter.incarnation).copied() == answer);
            matching.map(|voter| voter.host).collect()
        };
        let report = Leaderless {
            age,
            is_voter: self.is_voter(),
            silent: with_answer(None),
            refusing: with_answer(Some(false)),
            greeting: self.discovered.keys().cloned().collect(),
            last_index: self.entries.last_index(),
            last_term: self.entries.last_term(),
        };
        self.outbox.push(Action::Report(Report::Leaderless(report)));
    }
}
