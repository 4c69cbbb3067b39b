//! Read access to the state of a [`Core`].

use super::{Core, State};
use crate::{Entry, Index, Machine, Peer, Role, Settings};
use catkinlatch_base::{Incarnation, Term};

impl<M: Machine> Core<M> {
    /// Returns the node's role.
    pub fn role(&self) -> Role {
        match self.state {
            State::Leader(_) => Role::Leader,
            State::PreCandidate { .. } | State::Candidate { .. } => Role::Candidate,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower => Role::Learner,
            State::Failed => Role::Failed,
        }
    }

    /// Returns this node's identity.
    pub fn identity(&self) -> &Peer {
        &self.identity
    }

    /// Returns the leader that the node follows, or the node itself while it leads.
    pub fn leader(&self) -> Option<&Peer> {
        self.leader.as_ref()
    }

    /// Returns the highest term that the node has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the last position known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the last applied position.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the last position in the log.
    pub fn last_index(&self) -> Index {
        self.entries.last_index()
    }

    /// Returns the term of the last entry in the log.
    pub fn last_term(&self) -> Term {
        self.entries.last_term()
    }

    /// Returns the replicated state as applied on this node.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the voters. A change takes effect as soon as its entry is in the log.
    pub fn voters(&self) -> &[Peer] {
        self.memberships.last().map_or(&[], |(_, membership)| membership.voters())
    }

    /// Returns the non-voting nodes known to this leader; empty if the node does not lead.
    pub fn learners(&self) -> Vec<&Peer> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        let nodes = leader.progress.values().map(|progress| &progress.peer);
        nodes.filter(|peer| !self.membership().contains(peer.incarnation)).collect()
    }

    /// Returns the last position that the node has applied, as known to this leader.
    pub fn applied_by(&self, incarnation: Incarnation) -> Option<Index> {
        let State::Leader(leader) = &self.state else { return None };
        leader.progress.get(&incarnation).map(|progress| progress.applied)
    }

    /// Returns the entry at a position, if it is still in memory.
    pub fn entry(&self, index: Index) -> Option<&Entry<M::Command>> {
        self.entries.get(index).map(|entry| &**entry)
    }
}
