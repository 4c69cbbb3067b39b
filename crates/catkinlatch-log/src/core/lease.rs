//! The leader lease, and whether a change is in force on every node.

use super::{Core, Leader, State};
use crate::{Action, Index, Machine, Refusal};
use catkinlatch_base::{Incarnation, Instant, Term, invariant};

impl<M: Machine> Core<M> {
    /// Returns until when this node is the only leader, if it is.
    ///
    /// No other node can be elected before: a quorum heard this leader so lately that its voters
    /// refuse to vote. The time is on this node's clock and already less the drift.
    pub fn lease(&self, now: Instant) -> Option<Instant> {
        let State::Leader(leader) = &self.state else { return None };
        self.lease_of(now, leader).filter(|until| now < *until)
    }

    /// Returns when this node was elected, if it leads.
    pub fn leading_since(&self) -> Option<Instant> {
        let State::Leader(leader) = &self.state else { return None };
        Some(leader.since)
    }

    /// Returns whether the change at this position is in use on every node that takes work.
    ///
    /// Each node has applied it, or its configuration lease must have run out. A new leader waits
    /// for the leases that its predecessor may have given to nodes that it has not heard of.
    pub fn in_force(&self, index: Index, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        if index > self.commit || self.commit < leader.term_start {
            return false;
        }
        if index <= leader.in_force_through {
            return true;
        }
        let bound = self.settings.configuration_bound();
        let committed = leader.recent_commits.iter().find(|(last, _)| *last >= index);
        if committed.is_some_and(|(_, at)| now >= *at + bound) {
            return true;
        }
        now >= leader.since + bound && self.stale_nodes(index, now).is_empty()
    }

    /// Returns the nodes that may still work without the change at this position.
    pub fn stale_nodes(&self, index: Index, now: Instant) -> Vec<Incarnation> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        let is_stale = |progress: &&super::Progress| {
            progress.applied < index && progress.lease_bound.is_some_and(|bound| now < bound)
        };
        let stale = leader.progress.values().filter(is_stale);
        stale.map(|progress| progress.peer.incarnation).collect()
    }

    /// Returns the lease's end, which may lie in the past.
    pub(super) fn lease_of(&self, now: Instant, leader: &Leader) -> Option<Instant> {
        if self.commit < leader.term_start {
            return None;
        }
        let from = self.quorum_confirmed(now, leader)?;
        Some(from + self.settings.leader_lease())
    }

    /// Looks after the lease, the reads and the nodes while this node leads.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else { return };
        let confirmed = self.quorum_confirmed(now, leader);
        let latest = confirmed.unwrap_or(leader.since);
        if now >= latest.max(leader.since) + self.step_down_timeout() {
            return self.become_follower(now, self.hard_state.term, None);
        }
        let lease = self.lease_of(now, leader);
        if let State::Leader(leader) = &mut self.state
            && let Some(until) = lease
        {
            let until = until + self.settings.configuration_lease;
            leader.configuration_until = leader.configuration_until.max(until);
        }
        self.complete_reads(now, lease, confirmed);
        self.prune(now);
        self.repair_voters(now);
    }

    /// Answers reads that came before a quorum confirmed the leader, or while the lease holds.
    fn complete_reads(&mut self, now: Instant, lease: Option<Instant>, confirmed: Option<Instant>) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(until) = lease else { return };
        let holds = now < until;
        let mut waiting = Vec::new();
        for (token, at) in leader.pending_reads.drain(..) {
            if holds || confirmed.is_some_and(|confirmed| confirmed >= at) {
                self.out.push(Action::ReadReady { token });
            } else if waiting.len() < self.settings.max_pending {
                waiting.push((token, at));
            } else {
                self.out.push(Action::Refused { token, refusal: Refusal::Overloaded });
            }
        }
        leader.pending_reads = waiting;
    }

    /// Forgets old commits and nodes that were silent for long.
    fn prune(&mut self, now: Instant) {
        let bound = self.settings.configuration_bound();
        let retention = self.settings.forget.max(bound);
        let voters = self.membership().clone();
        let State::Leader(leader) = &mut self.state else { return };
        while leader.recent_commits.front().is_some_and(|(_, at)| now >= *at + bound) {
            if let Some((index, _)) = leader.recent_commits.pop_front() {
                leader.in_force_through = index;
            }
        }
        leader.progress.retain(|incarnation, progress| {
            voters.contains(*incarnation) || now < progress.last_contact + retention
        });
    }

    /// Returns the term that this node leads while its lease holds: the fencing number of orders.
    pub fn fencing(&self, now: Instant) -> Option<Term> {
        let until = self.lease(now)?;
        invariant!("lease_lies_ahead", now < until, "the lease has run out");
        Some(self.hard_state.term)
    }
}
