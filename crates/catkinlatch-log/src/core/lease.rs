//! Leader lease, configuration leases, and whether a change is in force on every node.

use super::{Core, Leader, State};
use crate::{Action, Index, Machine, Refusal};
use catkinlatch_base::{Incarnation, Instant, Term, invariant};

impl<M: Machine> Core<M> {
    /// Returns the end of this node's leader lease, or `None` if it does not hold one.
    ///
    /// No other node can be elected before that time: a quorum has heard from this leader recently
    /// enough to refuse votes to other candidates. The time is on this node's clock, with the
    /// maximum clock drift already subtracted.
    pub fn lease(&self, now: Instant) -> Option<Instant> {
        let State::Leader(leader) = &self.state else { return None };
        self.lease_of(now, leader).filter(|until| now < *until)
    }

    /// Returns whether this node leads and has heard from a quorum lately. Otherwise another node may
    /// have led for a while, also if this one has not taken a step since, as after a pause.
    pub fn is_acting_leader(&self, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let confirmed = self.quorum_confirmed(now, leader).unwrap_or(leader.since);
        now < confirmed.max(leader.since) + self.step_down_timeout()
    }

    /// Returns when this node was elected, if it leads.
    pub fn leading_since(&self) -> Option<Instant> {
        let State::Leader(leader) = &self.state else { return None };
        Some(leader.since)
    }

    /// Returns whether the change at this position is in use on every node that accepts work.
    ///
    /// Each node has either applied it or no longer holds a configuration lease. A new leader also
    /// waits until leases expire that its predecessor may have granted to nodes that the new leader
    /// does not know.
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

    /// Returns the nodes that may still accept work without the change at this position.
    pub fn stale_nodes(&self, index: Index, now: Instant) -> Vec<Incarnation> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        let is_stale = |progress: &&super::Progress| {
            progress.applied < index && progress.lease_bound.is_some_and(|bound| now < bound)
        };
        let stale = leader.progress.values().filter(is_stale);
        stale.map(|progress| progress.peer.incarnation).collect()
    }

    /// Returns the end of the leader lease, which may already have passed.
    pub(super) fn lease_of(&self, now: Instant, leader: &Leader) -> Option<Instant> {
        if self.commit < leader.term_start {
            return None;
        }
        let from = self.quorum_confirmed(now, leader)?;
        Some(from + self.settings.leader_lease())
    }

    /// Performs the leader's periodic work: leases, pending reads and repair of the voters. Steps
    /// down after [`Core::step_down_timeout`] without replies from a quorum.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else { return };
        let confirmed = self.quorum_confirmed(now, leader);
        if !self.is_acting_leader(now) {
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

    /// Completes the pending reads if the lease is valid, and otherwise those that were requested
    /// before the newest confirmation by a quorum.
    fn complete_reads(&mut self, now: Instant, lease: Option<Instant>, confirmed: Option<Instant>) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(until) = lease else { return };
        let holds = now < until;
        let mut waiting = Vec::new();
        for (token, at) in leader.pending_reads.drain(..) {
            if holds || confirmed.is_some_and(|confirmed| confirmed >= at) {
                self.outbox.push(Action::ReadReady { token });
            } else if waiting.len() < self.settings.max_pending {
                waiting.push((token, at));
            } else {
                self.outbox.push(Action::Refused { token, refusal: Refusal::Overloaded });
            }
        }
        leader.pending_reads = waiting;
    }

    /// Drops old commits, and learners that have been unresponsive for longer than
    /// [`crate::Settings::learner_timeout`].
    fn prune(&mut self, now: Instant) {
        let bound = self.settings.configuration_bound();
        let retention = self.settings.learner_timeout.max(bound);
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

    /// Returns the term if this node holds the leader lease. It serves as the fencing token of
    /// orders.
    pub fn fencing_token(&self, now: Instant) -> Option<Term> {
        let until = self.lease(now)?;
        invariant!("lease_lies_ahead", now < until, "the lease has expired");
        Some(self.hard_state.term)
    }
}
