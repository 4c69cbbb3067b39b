//! Elections: pre-votes, votes, and refusing votes while the current leader is alive.

use super::{Core, Leader, Progress, State};
use crate::{HardState, Index, Machine, Message, Payload, Peer, Vote};
use catkinlatch_base::{Incarnation, Instant, Term, invariant};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

impl<M: Machine> Core<M> {
    /// Starts a pre-vote once the election timeout has passed without contact from a leader. A node
    /// that is not a voter only clears its leader.
    pub(super) fn tick_follower(&mut self, now: Instant) {
        if now < self.election_at {
            return;
        }
        self.reset_election_timer(now);
        self.leader = None;
        if !self.is_voter() {
            return;
        }
        self.state = State::PreCandidate { granted: BTreeSet::from([self.identity.incarnation]) };
        let vote = self.vote_for(self.hard_state.term.next());
        self.send_to_voters(&Message::PreVote(vote), false);
        self.count_pre_votes(now);
    }

    /// Restarts the election timer with a random timeout between one and two times
    /// [`crate::Settings::election_timeout`].
    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let extra = self.settings.election_timeout.mul_f64(self.random.f64());
        self.election_at = now + self.settings.election_timeout + extra;
    }

    pub(super) fn on_pre_vote(&mut self, now: Instant, from: Peer, vote: Vote) {
        let granted = vote.term > self.hard_state.term
            && !self.has_live_leader(now)
            && self.is_current(&vote);
        self.send_synced(&from, Message::PreVoteReply { term: vote.term, granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        term: Term,
        from: Peer,
        requested_term: Term,
        granted: bool,
    ) {
        self.observe_vote(from.incarnation, granted);
        if !granted && term > self.hard_state.term {
            return self.become_follower(now, term, None);
        }
        if requested_term != self.hard_state.term.next() || !granted {
            return;
        }
        if let State::PreCandidate { granted } = &mut self.state {
            granted.insert(from.incarnation);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        let State::PreCandidate { granted } = &self.state else { return };
        if self.is_quorum(granted) {
            self.campaign(now);
        }
    }

    /// Starts an election for the next term.
    pub(super) fn campaign(&mut self, now: Instant) {
        let incarnation = self.identity.incarnation;
        let term = self.hard_state.term.next();
        self.set_hard_state(HardState { term, vote: Some(incarnation) });
        // The own vote counts only once it is synced, like any other.
        self.state = State::Candidate { granted: BTreeSet::new(), write: self.outbox.write.number };
        self.leader = None;
        self.reset_election_timer(now);
        let vote = self.vote_for(term);
        self.send_to_voters(&Message::Vote(vote), true);
    }

    /// Counts this node's own vote once its write is synced.
    pub(super) fn count_own_vote(&mut self, now: Instant, through: u64) {
        let State::Candidate { granted, write } = &mut self.state else { return };
        if through < *write {
            return;
        }
        granted.insert(self.identity.incarnation);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Instant) {
        let State::Candidate { granted, .. } = &self.state else { return };
        if self.is_quorum(granted) {
            self.become_leader(now);
        }
    }

    pub(super) fn on_vote(&mut self, now: Instant, from: Peer, vote: Vote) {
        if vote.term < self.hard_state.term || self.has_live_leader(now) {
            return self.send_synced(&from, Message::VoteReply { granted: false });
        }
        if vote.term > self.hard_state.term {
            self.become_follower(now, vote.term, None);
        }
        let may_vote = self.hard_state.vote.is_none_or(|other| other == from.incarnation);
        let granted = may_vote && self.is_current(&vote);
        if granted {
            self.set_hard_state(HardState { term: vote.term, vote: Some(from.incarnation) });
            self.reset_election_timer(now);
        }
        self.send_synced(&from, Message::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, now: Instant, term: Term, from: Peer, granted: bool) {
        self.observe_vote(from.incarnation, granted);
        if term > self.hard_state.term {
            return self.become_follower(now, term, None);
        }
        if term < self.hard_state.term || !granted {
            return;
        }
        let State::Candidate { granted, .. } = &mut self.state else { return };
        granted.insert(from.incarnation);
        self.count_votes(now);
    }

    /// Becomes a follower of the term's leader, or of none if it is not known yet.
    pub(super) fn become_follower(&mut self, now: Instant, term: Term, leader: Option<Peer>) {
        if let State::Leader(old) = &self.state {
            let until = old.configuration_until;
            self.configuration_until = self.configuration_until.max(Some(until));
            // The leader lease counted this node as a voter that refuses votes to other candidates.
            self.leader_contact = Some(now);
            self.hello_at = now;
        }
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        if !matches!(self.state, State::Follower) {
            self.reset_election_timer(now);
        }
        self.refuse_reads();
        self.state = State::Follower;
        self.leader = leader;
    }

    /// Becomes the leader after a quorum voted for this node.
    fn become_leader(&mut self, now: Instant) {
        let others: Vec<Peer> = self.other_voters();
        let next = self.entries.last_index().next();
        let progress: BTreeMap<Incarnation, Progress> = others
            .into_iter()
            .map(|peer| (peer.incarnation, Progress::new(peer, next, now)))
            .collect();
        let term_start = self.append(Payload::Empty);
        self.leader = Some(self.identity.clone());
        self.state = State::Leader(Box::new(Leader {
            since: now,
            term_start,
            progress,
            recent_commits: VecDeque::new(),
            in_force_through: Index::ZERO,
            pending_reads: Vec::new(),
            configuration_until: now,
            repair_at: now,
            reported: false,
            promotions: None,
            promote_at: now,
        }));
    }

    /// Returns whether this node leads or has heard from a leader within the election timeout, and
    /// so must refuse votes to other candidates.
    fn has_live_leader(&self, now: Instant) -> bool {
        let is_recent = self
            .leader_contact
            .is_some_and(|contact| now < contact + self.settings.election_timeout);
        is_recent || matches!(self.state, State::Leader(_))
    }

    /// Returns whether the candidate's log is at least as up to date as this node's log.
    fn is_current(&self, vote: &Vote) -> bool {
        let own = (self.entries.last_term(), self.entries.last_index());
        (vote.last_term, vote.last_index) >= own
    }

    fn vote_for(&self, term: Term) -> Vote {
        Vote { term, last_index: self.entries.last_index(), last_term: self.entries.last_term() }
    }

    fn send_to_voters(&mut self, message: &Message<M::Command>, synced: bool) {
        for peer in self.other_voters() {
            if synced {
                self.send_synced(&peer, message.clone());
            } else {
                self.send(&peer, message.clone());
            }
        }
    }

    pub(super) fn other_voters(&self) -> Vec<Peer> {
        let own = self.identity.incarnation;
        let others = self.membership().voters().iter().filter(|peer| peer.incarnation != own);
        others.cloned().collect()
    }

    fn is_quorum(&self, granted: &BTreeSet<Incarnation>) -> bool {
        let membership = self.membership();
        let votes = granted.iter().filter(|voter| membership.contains(**voter)).count();
        votes >= membership.quorum()
    }

    /// Checks the invariant that a term has at most one leader: `from` must not lead a term for
    /// which this node already follows another leader.
    pub(super) fn check_leader(&self, term: Term, from: &Peer) -> bool {
        let other = self.leader.as_ref().filter(|leader| leader.incarnation != from.incarnation);
        if term != self.hard_state.term || other.is_none() {
            return true;
        }
        invariant!(
            "one_leader_a_term",
            false,
            "both {from} and {} lead term {term}",
            other.expect("checked above")
        )
    }

    /// Returns the start of the leader lease: the latest send time for which a quorum has replied
    /// to a message sent at that time or later.
    pub(super) fn quorum_confirmed(&self, now: Instant, leader: &Leader) -> Option<Instant> {
        let own = self.identity.incarnation;
        let membership = self.membership();
        let mut confirmed: Vec<Option<Instant>> = membership
            .voters()
            .iter()
            .map(|voter| {
                if voter.incarnation == own {
                    return Some(now);
                }
                leader.progress.get(&voter.incarnation).and_then(|progress| progress.confirmed)
            })
            .collect();
        confirmed.sort();
        let at = confirmed.len().checked_sub(membership.quorum())?;
        confirmed.get(at).copied().flatten()
    }

    /// Returns how long a leader continues without replies from a quorum before it steps down.
    pub(super) fn step_down_timeout(&self) -> Duration {
        self.settings.election_timeout.mul_f64(2.0)
    }
}
