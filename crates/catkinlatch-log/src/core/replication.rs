//! Leader side of replication: proposals, sending entries and snapshots, and commits.

use super::{Core, Leader, Progress, Proposal, State, compaction::entry_bytes};
use crate::{
    Action, Append, AppendReply, Chunk, ChunkReply, Echo, Entry, Grant, Index, Machine, Message,
    Payload, Peer, Refusal, Token,
};
use catkinlatch_base::{Incarnation, Instant, Term};
use std::{mem, sync::Arc};

impl<M: Machine> Core<M> {
    pub(super) fn propose(&mut self, token: Token, command: M::Command) {
        if !matches!(self.state, State::Leader(_)) {
            let leader = self.leader.clone();
            return self.refuse(token, Refusal::NotLeader { leader });
        }
        if self.pending.len() >= self.settings.max_pending {
            return self.refuse(token, Refusal::Overloaded);
        }
        let term = self.hard_state.term;
        let index = self.append(Payload::Command(command));
        if let Some(old) = self.pending.insert(index, Proposal { term, token }) {
            self.refuse(old.token, Refusal::Lost);
        }
    }

    pub(super) fn read(&mut self, now: Instant, token: Token) {
        match &mut self.state {
            State::Leader(leader) => leader.pending_reads.push((token, now)),
            _ => {
                let leader = self.leader.clone();
                self.refuse(token, Refusal::NotLeader { leader });
            }
        }
    }

    /// Refuses all reads that are pending on this leader.
    pub(super) fn refuse_reads(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        for (token, _) in mem::take(&mut leader.pending_reads) {
            self.outbox
                .push(Action::Refused { token, refusal: Refusal::NotLeader { leader: None } });
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Instant,
        term: Term,
        from: Peer,
        reply: AppendReply,
    ) {
        let AppendReply { sent_at, matches, index, applied, echo } = reply;
        let Some(progress) = self.record_reply(now, term, &from, sent_at) else { return };
        progress.echo = newest(progress.echo, echo);
        progress.applied = progress.applied.max(applied);
        if matches {
            progress.probe = None;
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched.next());
            if progress.transfer.as_ref().is_some_and(|(s, _)| s.index <= progress.matched) {
                progress.transfer = None;
            }
            return;
        }
        if progress.probe.is_some_and(|probe| sent_at < probe) {
            return;
        }
        progress.next = index.next().max(progress.matched.next());
        progress.probe = Some(now);
        progress.heartbeat_at = now;
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        now: Instant,
        term: Term,
        from: Peer,
        reply: ChunkReply,
    ) {
        let ChunkReply { sent_at, index, offset } = reply;
        let Some(progress) = self.record_reply(now, term, &from, sent_at) else { return };
        if let Some((snapshot, sent)) = &mut progress.transfer
            && snapshot.index == index
            && *sent != offset
        {
            *sent = offset;
            progress.heartbeat_at = now;
        }
    }

    /// Records a reply to a message sent at `sent_at` and returns the sender's progress. Steps down
    /// if the sender's term is newer; returns `None` if the reply is not from the current term or
    /// the sender is unknown.
    fn record_reply(
        &mut self,
        now: Instant,
        term: Term,
        from: &Peer,
        sent_at: Instant,
    ) -> Option<&mut Progress> {
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
            return None;
        }
        if term < self.hard_state.term {
            return None;
        }
        let State::Leader(leader) = &mut self.state else { return None };
        let progress = leader.progress.get_mut(&from.incarnation)?;
        progress.last_contact = now;
        // Hosts of earlier builds echo messages that an earlier run of this host sent in an older
        // term, on another clock.
        if (leader.since..=now).contains(&sent_at) {
            progress.confirmed = progress.confirmed.max(Some(sent_at));
        }
        Some(progress)
    }

    /// Commits entries that a quorum has synced, provided that the last of them is of the current
    /// term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else { return };
        let candidate = self.quorum_matched(leader);
        if candidate <= self.commit || self.entries.term(candidate) != Some(self.hard_state.term) {
            return;
        }
        self.commit = candidate;
        if let State::Leader(leader) = &mut self.state {
            leader.recent_commits.push_back((candidate, now));
        }
        self.apply_committed();
        self.step_down_if_removed(now);
    }

    /// Returns the last position that a quorum of voters has synced.
    fn quorum_matched(&self, leader: &Leader) -> Index {
        let own = self.identity.incarnation;
        let membership = self.membership();
        let matched = |voter: &Peer| {
            if voter.incarnation == own {
                return self.entries.durable();
            }
            let progress = leader.progress.get(&voter.incarnation);
            progress.map_or(Index::ZERO, |progress| progress.matched)
        };
        let mut all: Vec<Index> = membership.voters().iter().map(matched).collect();
        all.sort();
        let at = all.len().checked_sub(membership.quorum());
        at.and_then(|at| all.get(at)).copied().unwrap_or(Index::ZERO)
    }

    fn step_down_if_removed(&mut self, now: Instant) {
        if !self.membership_at(self.commit).contains(self.identity.incarnation) {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Sends the entries, snapshot chunks and heartbeats that are due to each node.
    pub(super) fn replicate(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else { return };
        let has_lease = self.lease_of(now, leader).is_some_and(|until| now < until);
        let nodes: Vec<Incarnation> = leader.progress.keys().copied().collect();
        for node in nodes {
            self.replicate_to(now, node, has_lease);
        }
    }

    fn replicate_to(&mut self, now: Instant, node: Incarnation, has_lease: bool) {
        let is_voter = self.membership().contains(node);
        let interval = if is_voter {
            self.settings.heartbeat_interval
        } else {
            self.settings.learner_heartbeat_interval
        };
        let replicates_to_all = self.settings.replicates_to_all_learners;
        let State::Leader(leader) = &mut self.state else { return };
        let is_promoting = leader.promotions.as_ref().is_some_and(|(list, _)| list.contains(&node));
        let is_replicated = is_voter || replicates_to_all || is_promoting;
        let Some(mut progress) = leader.progress.remove(&node) else { return };
        if !is_replicated {
            self.send_bare_heartbeat(now, &mut progress);
            let State::Leader(leader) = &mut self.state else { return };
            leader.progress.insert(node, progress);
            return;
        }
        if progress.next < self.entries.first_index() && progress.transfer.is_none() {
            let snapshot = self.entries.snapshot().expect("entries are dropped for a snapshot");
            progress.transfer = Some((snapshot.clone(), 0));
            progress.heartbeat_at = now;
        }
        let is_due = progress.heartbeat_at <= now;
        if progress.transfer.is_some() {
            if is_due {
                progress.heartbeat_at = now + interval;
                self.send_chunk(now, &progress);
            }
        } else {
            self.send_entries(now, &mut progress, is_due, has_lease);
            if is_due {
                progress.heartbeat_at = now + interval;
            }
        }
        let State::Leader(leader) = &mut self.state else { return };
        leader.progress.insert(node, progress);
    }

    /// Sends a heartbeat without entries to a reserve learner, if one is due.
    fn send_bare_heartbeat(&mut self, now: Instant, progress: &mut Progress) {
        if now < progress.heartbeat_at {
            return;
        }
        progress.heartbeat_at = now + self.settings.learner_heartbeat_interval;
        progress.transfer = None;
        let append = Append {
            sent_at: now,
            previous_index: Index::ZERO,
            previous_term: Term::default(),
            entries: Vec::new(),
            commit: Index::ZERO,
            grant: None,
        };
        let peer = progress.peer.clone();
        self.send(&peer, Message::Append(append));
    }

    /// Sends entries until the node is up to date or as many are in flight as the settings allow, and
    /// a heartbeat if one is due.
    fn send_entries(
        &mut self,
        now: Instant,
        progress: &mut Progress,
        is_due: bool,
        has_lease: bool,
    ) {
        let mut must_send = is_due || progress.commit_sent < self.commit;
        loop {
            let has_more = progress.next <= self.entries.last_index() && self.has_room(progress);
            let may_send_more = has_more && progress.probe.is_none();
            if !must_send && !may_send_more {
                return;
            }
            must_send = false;
            let entries = if has_more { self.next_entries(progress.next) } else { Vec::new() };
            let previous_index = progress.next.previous();
            let previous_term = self.entries.term(previous_index).unwrap_or_default();
            let grant = self.grant(progress, has_lease);
            progress.next = Index::new(progress.next.get() + entries.len() as u64);
            progress.commit_sent = self.commit;
            progress.probe = progress.probe.map(|_| now);
            let commit = self.commit;
            let append =
                Append { sent_at: now, previous_index, previous_term, entries, commit, grant };
            let peer = progress.peer.clone();
            self.send(&peer, Message::Append(append));
        }
    }

    /// Returns whether more entries may be in flight to a node.
    fn has_room(&self, progress: &Progress) -> bool {
        let first = progress.matched.next();
        let in_flight = progress.next.get().saturating_sub(first.get());
        if in_flight >= self.settings.max_in_flight_entries {
            return false;
        }
        let sent = self.entries.iter(first).take(in_flight as usize);
        let bytes: usize = sent.map(|entry| entry_bytes::<M>(entry)).sum();
        bytes < self.settings.max_in_flight_bytes
    }

    /// Returns the entries of the next message, from position `from` on.
    fn next_entries(&self, from: Index) -> Vec<Arc<Entry<M::Command>>> {
        let mut bytes = 0;
        let entries = self.entries.iter(from).take(self.settings.max_entries);
        let fitting = entries.take_while(|entry| {
            let is_full = bytes >= self.settings.max_entry_bytes;
            bytes += entry_bytes::<M>(entry);
            !is_full
        });
        fitting.cloned().collect()
    }

    /// Grants a configuration lease that starts at the node's clock reading in its newest reply.
    fn grant(&self, progress: &mut Progress, has_lease: bool) -> Option<Grant> {
        let echo = progress.echo.filter(|_| has_lease)?;
        // The reply was sent before it was received, so the bound covers the granted lease.
        let bound = progress.last_contact + self.settings.configuration_bound();
        progress.lease_bound = progress.lease_bound.max(Some(bound));
        Some(Grant { echo, length: self.settings.configuration_lease })
    }

    fn send_chunk(&mut self, now: Instant, progress: &Progress) {
        let Some((snapshot, offset)) = &progress.transfer else { return };
        let total = snapshot.data.len();
        let start = (*offset as usize).min(total);
        let end = total.min(start + self.settings.chunk_bytes);
        let chunk = Chunk {
            sent_at: now,
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: start as u64,
            total: total as u64,
            data: snapshot.data.slice(start..end),
        };
        self.send(&progress.peer, Message::Chunk(chunk));
    }
}

/// Returns the newer of two clock readings; a reading from another run replaces the old one.
fn newest(old: Option<Echo>, new: Echo) -> Option<Echo> {
    match old {
        Some(old) if old.run == new.run && old.at > new.at => Some(old),
        _ => Some(new),
    }
}
