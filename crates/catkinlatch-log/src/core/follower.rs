//! Follower side of replication: receiving entries, snapshots and configuration leases.

use super::{Core, State, decode};
use crate::{
    Action, Append, AppendReply, Chunk, ChunkReply, Echo, Grant, Index, Machine, Message, Payload,
    Peer, Refusal, Snapshot,
};
use bytes::{Bytes, BytesMut};
use catkinlatch_base::{Instant, Term, invariant};
use std::{sync::Arc, time::Duration};

/// A partially received snapshot.
#[derive(Clone, Debug)]
pub struct Transfer {
    index: Index,
    term: Term,
    data: BytesMut,
}

impl<M: Machine> Core<M> {
    pub(super) fn on_append(
        &mut self,
        now: Instant,
        term: Term,
        from: Peer,
        append: Append<M::Command>,
    ) {
        if !self.accept_leader(now, term, &from) {
            return self.reject_leader(term, &from);
        }
        let (matches, index) = self.append_entries(&append);
        if matches!(self.state, State::Failed) {
            return;
        }
        if matches {
            self.commit_through(append.commit.min(index));
            self.renew_configuration_lease(now, &append);
        }
        let reply = self.append_reply(now, append.sent_at, matches, index);
        self.send_synced(&from, reply);
    }

    pub(super) fn on_chunk(&mut self, now: Instant, term: Term, from: Peer, chunk: Chunk) {
        if !self.accept_leader(now, term, &from) {
            return self.reject_leader(term, &from);
        }
        if chunk.index <= self.commit {
            let reply = self.append_reply(now, chunk.sent_at, true, self.commit);
            return self.send_synced(&from, reply);
        }
        if self.entries.term(chunk.index) == Some(chunk.term) {
            // A late chunk of an older snapshot must not drop acknowledged entries that follow it.
            self.commit_through(chunk.index);
            let reply = self.append_reply(now, chunk.sent_at, true, chunk.index);
            return self.send_synced(&from, reply);
        }
        let (sent_at, index) = (chunk.sent_at, chunk.index);
        let Some(offset) = self.receive_chunk(chunk) else {
            let reply = self.append_reply(now, sent_at, true, index);
            return self.send_synced(&from, reply);
        };
        self.send_synced(&from, Message::ChunkReply(ChunkReply { sent_at, index, offset }));
    }

    /// Becomes a follower of the sender if its term is current, and returns whether it is.
    fn accept_leader(&mut self, now: Instant, term: Term, from: &Peer) -> bool {
        if term < self.hard_state.term || !self.check_leader(term, from) {
            return false;
        }
        self.become_follower(now, term, Some(from.clone()));
        self.remember_contact(now, &from.host);
        self.leader_contact = Some(now);
        self.reset_election_timer(now);
        true
    }

    /// Replies to a leader of an older term, so that it learns the current term and steps down.
    ///
    /// The reply does not name the message: if its sender has restarted and leads the current term,
    /// it would take the reply as confirmation of a message that it sent at that time on its new
    /// clock, and extend its lease.
    fn reject_leader(&mut self, term: Term, from: &Peer) {
        if term < self.hard_state.term {
            self.send_synced(from, Message::VoteReply { granted: false });
        }
    }

    fn append_reply(
        &self,
        now: Instant,
        sent_at: Instant,
        matches: bool,
        index: Index,
    ) -> Message<M::Command> {
        let echo = Echo { run: self.run, at: now };
        Message::AppendReply(AppendReply { sent_at, matches, index, applied: self.applied, echo })
    }

    /// Appends the entries. Returns whether they match this log, and either the last matching
    /// position or the position after which the leader should retry.
    fn append_entries(&mut self, append: &Append<M::Command>) -> (bool, Index) {
        let previous = append.previous_index;
        let last = Index::new(previous.get() + append.entries.len() as u64);
        if last <= self.commit {
            return (true, last);
        }
        if previous > self.entries.last_index() {
            return (false, self.entries.last_index());
        }
        if previous > self.commit && self.entries.term(previous) != Some(append.previous_term) {
            let start = self.entries.term_start(previous);
            return (false, start.previous().max(self.commit));
        }
        for entry in &append.entries {
            if entry.index <= self.commit || self.entries.term(entry.index) == Some(entry.term) {
                continue;
            }
            self.truncate(entry.index);
            if matches!(self.state, State::Failed) {
                return (false, self.commit);
            }
            if let Payload::Members(membership) = &entry.payload {
                self.memberships.push((entry.index, membership.clone()));
            }
            self.entries.append(entry.clone(), &mut self.outbox.write);
        }
        (true, last)
    }

    /// Drops entries that conflict with those of a newer leader.
    fn truncate(&mut self, from: Index) {
        if from > self.entries.last_index() {
            return;
        }
        let holds = invariant!(
            "committed_stays",
            from > self.commit,
            "entries are truncated from {from}, but {} is committed",
            self.commit
        );
        if !holds {
            return self.fail();
        }
        self.entries.truncate(from, &mut self.outbox.write);
        self.memberships.retain(|(index, _)| *index < from);
        for (_, proposal) in self.pending.split_off(&from) {
            self.refuse(proposal.token, Refusal::Lost);
        }
    }

    fn commit_through(&mut self, index: Index) {
        if index > self.commit {
            self.commit = index;
            self.apply_committed();
        }
    }

    /// Extends the configuration lease, unless committed entries are still to be applied or the
    /// echo stems from an earlier run of this process.
    fn renew_configuration_lease(&mut self, now: Instant, append: &Append<M::Command>) {
        let Some(Grant { echo, length }) = append.grant else { return };
        if echo.run != self.run || echo.at > now || self.applied < append.commit {
            return;
        }
        let until = echo.at + length.min(self.settings.configuration_lease);
        self.configuration_until = self.configuration_until.max(Some(until));
    }

    /// Adds a chunk. Returns the number of bytes received, or `None` once the snapshot is complete
    /// and installed.
    fn receive_chunk(&mut self, chunk: Chunk) -> Option<u64> {
        let is_same = self
            .incoming
            .as_ref()
            .is_some_and(|old| old.index == chunk.index && old.term == chunk.term);
        if !is_same {
            let data = BytesMut::new();
            self.incoming = Some(Transfer { index: chunk.index, term: chunk.term, data });
        }
        let incoming = self.incoming.as_mut().expect("set above");
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let held = incoming.data.len() as u64;
        if held < chunk.total {
            return Some(held);
        }
        let data = incoming.data.split().freeze();
        self.incoming = None;
        self.install(chunk, data);
        None
    }

    /// Replaces the log and the state machine by a snapshot received from the leader.
    fn install(&mut self, chunk: Chunk, data: Bytes) {
        let Chunk { index, term, membership, .. } = chunk;
        let applied = self.applied;
        invariant!(
            "applied_grows",
            index > applied,
            "snapshot {index} is not newer than applied entry {applied}"
        );
        let snapshot = Arc::new(Snapshot { index, term, membership, data });
        self.machine = decode(&snapshot);
        self.memberships = vec![(index, snapshot.membership.clone())];
        self.applied = index;
        self.commit = index;
        self.entries.install(snapshot, &mut self.outbox.write);
        for (_, proposal) in std::mem::take(&mut self.pending) {
            self.refuse(proposal.token, Refusal::Unknown);
        }
        self.outbox.push(Action::Restored { index });
    }

    /// Returns the end of this node's configuration lease, or `None` if it has expired.
    ///
    /// A node without a configuration lease refuses work and is removed from the entry list, since
    /// a newer configuration may be in force without it.
    pub fn configuration_lease(&self, now: Instant) -> Option<Instant> {
        let until = match &self.state {
            State::Leader(leader) => self.configuration_until.max(Some(leader.configuration_until)),
            State::Failed => None,
            State::Follower | State::PreCandidate { .. } | State::Candidate { .. } => {
                self.configuration_until
            }
        };
        until.filter(|until| now < *until)
    }

    /// Returns the remaining time of the configuration lease, or zero if it has expired.
    pub fn configuration_lease_left(&self, now: Instant) -> Duration {
        self.configuration_lease(now).map_or(Duration::ZERO, |until| until - now)
    }
}
